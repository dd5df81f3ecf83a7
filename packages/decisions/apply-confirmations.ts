import type {AcceptorConfirmation} from './acceptor-confirmation.ts';

/**
 * Merges the acceptors' confirmations that another host sent; the newest of each acceptor counts.
 *
 * @returns When each acceptor last confirmed, in monotonic milliseconds.
 */
export function applyConfirmations(
	known: ReadonlyMap<string, number>,
	received: readonly AcceptorConfirmation[],
): ReadonlyMap<string, number> {
	const confirmations = new Map(known);
	for (const {id, confirmedAt} of received) {
		confirmations.set(id, Math.max(confirmedAt, confirmations.get(id) ?? -Infinity));
	}

	return confirmations;
}
