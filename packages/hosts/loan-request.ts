/** What a host asks a workspace's home for. */
export type LoanRequest = {
	/** Process that borrows; another one after a restart. */
	readonly host: string;
	/** Number that the borrower gives the loan. */
	readonly id: number;
	readonly workspace: string;
	/** Units that the host cannot do without. */
	readonly needed: number;
	/** Units that the host would like. */
	readonly wanted: number;
	/** Whether the host asks as the standby, for units to lend on. */
	readonly isStandby: boolean;
	/** What was used of earlier loans, and what is given back, by the loan's number. */
	readonly settled: ReadonlyArray<{readonly id: number; readonly used: number; readonly returned: number}>;
};
