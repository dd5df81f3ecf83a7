/** What a workspace's home lends. */
export type LoanGrant = {
	readonly units: number;
	/** Milliseconds, counted from when the borrower asked, for which the units may be used. */
	readonly validMs: number;
	/** Milliseconds until the needed units would be there; 0 when all was lent. */
	readonly retryAfter: number;
};
