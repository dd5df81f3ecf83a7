/** A workspace's rate and burst at the host that is its home. Times are monotonic milliseconds. */
export type HomeBucket = {
	/** Units that may be lent now. */
	readonly level: number;
	readonly refilledAt: number;
	/** Units lent to hosts and not known to be used, oldest first. */
	readonly loans: readonly Loan[];
};

type Loan = {
	/** Process that borrowed. */
	readonly host: string;
	/** Number that the borrower gave the loan. */
	readonly id: number;
	readonly units: number;
	readonly expiresAt: number;
};
