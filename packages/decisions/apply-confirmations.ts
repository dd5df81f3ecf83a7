import type {AcceptorConfirmation} from './acceptor-confirmation.ts';

/** Applies what another host told of the acceptors' word; the newest word of each counts. */
export function applyConfirmations(
	known: ReadonlyMap<string, number>,
	told: readonly AcceptorConfirmation[],
): ReadonlyMap<string, number> {
	const statements = new Map(known);
	for (const {id, confirmedAt: at} of told) {
		statements.set(id, Math.max(at, statements.get(id) ?? -Infinity));
	}

	return statements;
}
