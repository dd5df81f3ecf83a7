/** Units of a workspace that a host has on loan. Times are monotonic milliseconds. */
export type LoanAccount = {
	/** Loans, oldest first. */
	readonly loans: readonly BorrowedLoan[];
	/** Number of the next loan. */
	readonly nextId: number;
	/** Units asked for in the recent past, fading, from which the next loan's size follows. */
	readonly demand: number;
	readonly demandAt: number;
};

type BorrowedLoan = {
	readonly id: number;
	/** Units left. */
	readonly units: number;
	/** Units used; the home hears of them when the purse is settled. */
	readonly used: number;
	readonly expiresAt: number;
};
