/** Rate limit of a workspace over the whole fleet, as a token bucket. */
export type WorkspaceLimits = {
	/** Operations per second. */
	readonly rate: number;
	/** Bucket capacity in operations. */
	readonly burst: number;
};
