import type {AcceptorConfirmation} from './acceptor-confirmation.ts';
import type {HostState} from './host-state.ts';

/**
 * Lists the acceptors' confirmations, known to this host, that nothing newer has been committed.
 *
 * If this host is an acceptor, it adds its own confirmation as of now. It withholds that while the outcome of a commit
 * of its own is open, until `confirmsFrom`, and when the last confirmed table read is older than `maxTableAgeMs`.
 *
 * @param state The host's state.
 * @param options Maximum age of the last confirmed table read in milliseconds, and monotonic milliseconds.
 */
export function listConfirmations(
	state: HostState,
	options: {readonly maxTableAgeMs: number; readonly now: number},
): readonly AcceptorConfirmation[] {
	const {self} = state.membership;
	const canConfirm = !state.hasPendingCommit && options.now >= state.confirmsFrom && options.now - state.tableConfirmedAt <= options.maxTableAgeMs;
	return state.roster.acceptors
		.map(id => ({id, confirmedAt: id === self ? (canConfirm ? options.now : -Infinity) : state.confirmations.get(id) ?? -Infinity}))
		.filter(({confirmedAt}) => confirmedAt !== -Infinity);
}
