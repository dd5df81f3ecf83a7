/** Units of a workspace that the standby host has borrowed from the home host, to lend when the home host cannot. */
export type StandbyLoan = {
	/** Number that the standby host assigned to the loan. */
	readonly id: number;
	/** Units that can still be lent. */
	readonly units: number;
	/** Monotonic milliseconds after which the units cannot be lent. */
	readonly expiresAt: number;
};
