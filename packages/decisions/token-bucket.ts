/** The token bucket of a workspace at one host, for the host's share of the reserve. */
export type TokenBucket = {
	/** Units that can be taken. */
	readonly units: number;
	/** When the bucket was last refilled, in monotonic milliseconds. */
	readonly refilledAt: number;
};
