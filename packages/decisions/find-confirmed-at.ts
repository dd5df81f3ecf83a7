import type {HostState} from './host-state.ts';

/**
 * Finds when the known configuration and roster were last proven to be the newest.
 *
 * They are proven by a read of the table, or by the word of all acceptors: a newer one could only have come
 * through one of them.
 *
 * @returns Monotonic milliseconds; -Infinity without proof.
 */
export function findConfirmedAt(state: HostState): number {
	const {acceptors} = state.roster;
	const words = acceptors.map(id => state.confirmations.get(id) ?? -Infinity);
	const byWord = words.length === 0 ? -Infinity : Math.min(...words);
	return Math.max(state.tableConfirmedAt, byWord);
}
