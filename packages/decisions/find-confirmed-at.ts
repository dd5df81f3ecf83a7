import type {HostState} from './host-state.ts';

/**
 * Finds the moment as of which the known configuration and roster are confirmed to be the newest.
 *
 * A read of the platform's table confirms them, and so do all acceptors together, because every newer version is
 * committed through one of the acceptors.
 *
 * @returns Monotonic milliseconds; -Infinity if nothing has confirmed them.
 */
export function findConfirmedAt(state: HostState): number {
	const {acceptors} = state.roster;
	const confirmations = acceptors.map(id => state.confirmations.get(id) ?? -Infinity);
	const byAcceptors = confirmations.length === 0 ? -Infinity : Math.min(...confirmations);
	return Math.max(state.tableConfirmedAt, byAcceptors);
}
