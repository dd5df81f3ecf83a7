/** The token bucket of a workspace, at its home host, which lends units from it. Times are monotonic milliseconds. */
export type HomeBucket = {
	/** Units that can be lent now. */
	readonly level: number;
	/** When `level` was last computed. In the future for a home host that does not lend yet. */
	readonly refilledAt: number;
	/** Open loans: units lent to hosts and not yet reported as used or returned, oldest first. */
	readonly loans: readonly Loan[];
};

type Loan = {
	/** Process that borrowed; a restarted host is another one. */
	readonly host: string;
	/** Number that the borrower assigned to the loan. */
	readonly id: number;
	readonly units: number;
	/** When the home host counts the rest of the loan as used. */
	readonly expiresAt: number;
};
