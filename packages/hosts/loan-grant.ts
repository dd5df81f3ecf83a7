/** Answer of a workspace's home host or standby host to a loan request. */
export type LoanGrant = {
	/** Units lent. */
	readonly units: number;
	/** Milliseconds for which the units may be used, counted from when the borrower sent its request. */
	readonly validMs: number;
	/** Milliseconds until the needed units are expected to be available; 0 if they were lent. */
	readonly retryAfter: number;
};
