/**
 * How the operations that a workspace may have in a window beyond its steady rate are divided. The rest is kept for
 * clocks and counts that differ between hosts.
 */
export const spareParts = {
	/** Saved up by all hosts together, evenly. */
	savedEvenly: 0.125,
	/** Saved up by the hosts that hold shares, as far as they do. */
	savedByShare: 0.125,
	/** Kept by the home, for hosts that run short. */
	pooled: 0.1,
	/** Added to what the home keeps, over a window. */
	refilled: 0.4,
	/** Used by hosts that have no share. */
	unasked: 0.2,
} as const;
