/** The units of a workspace that a host has borrowed. Times are monotonic milliseconds. */
export type LoanAccount = {
	/** Open loans, oldest first. */
	readonly loans: readonly BorrowedLoan[];
	/** Number that the host assigns to its next loan. */
	readonly nextId: number;
	/** Exponentially decaying sum of the units that requests asked for, which sizes the next loan. */
	readonly demand: number;
	/** When `demand` was last updated. */
	readonly demandAt: number;
};

type BorrowedLoan = {
	readonly id: number;
	/** Units that can still be spent. */
	readonly units: number;
	/** Units used; reported to the home host when the account is settled. */
	readonly used: number;
	readonly expiresAt: number;
};
