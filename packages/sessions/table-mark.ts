/**
 * Tells the states of a table apart: two states with the same mark hold the same rows.
 *
 * A row that is written gets a version above all others, so a later state with the same newest version has no row that
 * an earlier one lacks; and if it lacked one, it would hold fewer.
 */
export type TableMark = {
	/** Highest version of a row; 0 for an empty table. */
	readonly newest: number;
	/** Number of rows. */
	readonly count: number;
};
