import type {AcceptorConfirmation} from './acceptor-confirmation.ts';
import type {HostState} from './host-state.ts';

/**
 * Lists what this host knows of the acceptors' word that nothing newer has been committed.
 *
 * An acceptor gives its own word as of now, unless a commit of its own is unsettled or it has not reached the
 * table for longer than the span.
 *
 * @param state The host's state.
 * @param options Milliseconds without the table after which an acceptor's word ends, and monotonic milliseconds.
 */
export function listConfirmations(
	state: HostState,
	options: {readonly maxTableAgeMs: number; readonly now: number},
): readonly AcceptorConfirmation[] {
	const {self} = state.membership;
	const isSpeaking = !state.hasPendingCommit && options.now >= state.confirmsFrom && options.now - state.tableConfirmedAt <= options.maxTableAgeMs;
	return state.roster.acceptors
		.map(id => ({id, confirmedAt: id === self ? (isSpeaking ? options.now : -Infinity) : state.confirmations.get(id) ?? -Infinity}))
		.filter(({confirmedAt}) => confirmedAt !== -Infinity);
}
