/** Share of an instance's connections that is left to hosts which come, and to connections that linger. */
const sparePart = 0.12;

/**
 * Finds how many connections a host may hold to an instance.
 *
 * @param cap Connections that the instance takes from all hosts together.
 * @param hostCount Hosts that are registered.
 */
export function findConnectionLimit(cap: number, hostCount: number): number {
	return Math.max(1, Math.floor(cap * (1 - sparePart) / Math.max(1, hostCount)));
}
