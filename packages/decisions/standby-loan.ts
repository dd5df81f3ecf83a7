/** Units of a workspace that a standby has on loan from the home, to lend on when the home cannot. */
export type StandbyLoan = {
	/** Number of the loan from the home. */
	readonly id: number;
	/** Units left. */
	readonly units: number;
	/** Monotonic milliseconds. */
	readonly expiresAt: number;
};
