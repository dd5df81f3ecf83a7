/** Units that a workspace may still use here, and when they were last refilled in monotonic milliseconds. */
export type TokenBucket = {
	readonly units: number;
	readonly refilledAt: number;
};
