import type {StoreOutcome} from './store-outcome.ts';
import type {StoreTable} from './store-table.ts';
import type {TableRead} from './table-read.ts';

/** Atomic change of rows in the `fleet` table. */
type StoreChange = {
	/** Versions that rows must have for the change to be made, by key; 0 for a row that must not exist. */
	readonly expected: ReadonlyMap<string, number>;
	/** Values to write, by key; undefined deletes the row. */
	readonly values: ReadonlyMap<string, string | undefined>;
};

/** Client of the platform's store. */
export type Store = {
	/** Reads a whole table. */
	readonly read: (table: StoreTable) => Promise<StoreOutcome<TableRead>>;
	/**
	 * Returns the rows that changed after a version; waits up to `wait` milliseconds for a change. The outcome is
	 * `forgotten` if the version is of another era than the answer.
	 */
	readonly follow: (table: StoreTable, options: {readonly after: number; readonly wait: number}) => Promise<StoreOutcome<TableRead>>;
	/** Makes a change if all expected versions match; a version of an earlier era never does. */
	readonly commit: (change: StoreChange) => Promise<StoreOutcome<undefined>>;
};
