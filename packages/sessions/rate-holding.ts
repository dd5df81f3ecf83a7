/** Share and demand of one host for one workspace. */
export type RateHolding = {
	/** Granted operations per second. */
	readonly rate: number;
	/** When the share expires, in milliseconds of the steady clock. */
	readonly expiresAt: number;
	/** Operations per second that callers request at the host. */
	readonly demand: number;
	/** When the host reported the demand, in milliseconds of the steady clock. */
	readonly claimedAt: number;
};
