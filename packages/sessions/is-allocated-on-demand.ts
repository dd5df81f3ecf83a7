type Options = {
	/** Operations per second that the workspace may run over all hosts. */
	readonly limit: number;
	/** Number of registered hosts. */
	readonly hostCount: number;
	/** Operations per second that callers request at the host. */
	readonly demand: number;
};

/**
 * Operations per second. If an equal share of the rate is smaller, a host with less demand than this gets no share and
 * requests each operation instead.
 */
const minShare = 5;

/**
 * Whether a host gets no share of a workspace's rate and requests each operation from the rate allocator instead.
 *
 * With many hosts and little demand at each of them, most of every share would stay unused; the allocator's pool
 * serves all hosts in that case.
 */
export function isAllocatedOnDemand({limit, hostCount, demand}: Options): boolean {
	return limit < minShare * hostCount && demand < minShare;
}
