/**
 * Fractions into which a workspace's burst budget (see `findBurstBudget`) is divided. The remainder is left unused, to
 * absorb differences between the hosts' clocks and counts.
 */
export const burstBudgetFractions = {
	/** Bucket capacity that is divided equally among all hosts. */
	bucketPerHost: 0.125,
	/** Bucket capacity that is divided among hosts in proportion to their shares. */
	bucketByShare: 0.125,
	/** Capacity of the rate allocator's pool, for hosts whose share is used up. */
	poolCapacity: 0.1,
	/** Refill of the rate allocator's pool over one window. */
	poolRefill: 0.4,
	/** Rate that all hosts may use without a granted share, over one window. */
	unallocated: 0.2,
} as const;
