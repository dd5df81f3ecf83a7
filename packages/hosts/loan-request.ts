/** Request of a host for units from a workspace's token bucket, which the home host of the workspace keeps. */
export type LoanRequest = {
	/** Process that borrows; a restarted host is another process. */
	readonly host: string;
	/** Number of the loan, assigned by the borrower. */
	readonly id: number;
	readonly workspace: string;
	/** Units without which the loan is of no use. */
	readonly needed: number;
	/** Units that the host asks for, to serve further requests as well. */
	readonly wanted: number;
	/** Whether the host borrows as the standby host, to lend the units on. */
	readonly isStandby: boolean;
	/** Units used and units returned of earlier loans, with the number of the loan. */
	readonly settled: ReadonlyArray<{readonly id: number; readonly used: number; readonly returned: number}>;
};
