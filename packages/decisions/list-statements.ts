import type {AcceptorStatement} from './acceptor-statement.ts';
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
export function listStatements(
	state: HostState,
	options: {readonly span: number; readonly now: number},
): readonly AcceptorStatement[] {
	const {self} = state.membership;
	const isSpeaking = !state.isCommitting && options.now >= state.speaksFrom && options.now - state.provenAt <= options.span;
	return state.roster.acceptors
		.map(id => ({id, at: id === self ? (isSpeaking ? options.now : -Infinity) : state.statements.get(id) ?? -Infinity}))
		.filter(({at}) => at !== -Infinity);
}
