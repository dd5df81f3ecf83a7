/**
 * Fingerprint of a table's rows: two states of a table with the same mark hold the same rows.
 *
 * Each write gives its row a version above all others, also when the store has come back from an older copy since. A later state with the same highest version therefore has no row
 * that the earlier one lacks, and with the same number of rows it lacks none either.
 */
export type TableMark = {
	/** Highest row version; 0 for an empty table. */
	readonly newest: number;
	/** Number of rows. */
	readonly count: number;
};
