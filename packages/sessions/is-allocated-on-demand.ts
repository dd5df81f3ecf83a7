type Options = {
	/** Operations a second that the workspace may run over all hosts. */
	readonly limit: number;
	/** Hosts that are registered. */
	readonly hostCount: number;
	/** Operations a second that callers ask for at the host. */
	readonly demand: number;
};

/** Operations a second and host; where an even share is less, hosts with little demand ask for each operation instead. */
const sparseShare = 5;

/**
 * Whether a host gets no share of a workspace's rate, but asks the home for each operation.
 *
 * With many hosts and little demand at each, shares would lie idle nearly everywhere; the home's pool then serves all.
 */
export function isAllocatedOnDemand({limit, hostCount, demand}: Options): boolean {
	return limit < sparseShare * hostCount && demand < sparseShare;
}
