import type {SqlValue} from './sql-value.ts';

/** The result of one statement: column names, rows in column order, and the number of rows changed. */
export type SqlResult = {
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<readonly SqlValue[]>;
	readonly changes: number;
};
