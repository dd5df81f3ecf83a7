/** What a host asks a workspace's home for. */
export type BorrowAsked = {
	/** Process that borrows; another one after a restart. */
	readonly host: string;
	/** Number that the borrower gives the loan. */
	readonly id: number;
	readonly workspace: string;
	/** Units that the host would like. */
	readonly wanted: number;
	/** Units of earlier loans used since the host last asked, by the loan's number. */
	readonly used: ReadonlyArray<{readonly id: number; readonly units: number}>;
};
