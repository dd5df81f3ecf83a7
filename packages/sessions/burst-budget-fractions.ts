/**
 * How the operations that a workspace may have in a window beyond its steady rate are divided. The rest is kept for
 * clocks and counts that differ between hosts.
 */
export const burstBudgetFractions = {
	/** Saved up by all hosts together, evenly. */
	bucketPerHost: 0.125,
	/** Saved up by the hosts that hold shares, as far as they do. */
	bucketByShare: 0.125,
	/** Kept by the home, for hosts that run short. */
	poolCapacity: 0.1,
	/** Added to what the home keeps, over a window. */
	poolRefill: 0.4,
	/** Used by hosts that have no share. */
	unallocated: 0.2,
} as const;
