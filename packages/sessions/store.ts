import type {StoreOutcome} from './store-outcome.ts';
import type {StoreTable} from './store-table.ts';
import type {TableRead} from './table-read.ts';

/** A change of rows of the fleet's own table; all of it is made, or none. */
type StoreChange = {
	/** Versions that the rows must have, by key; 0 for a row that must not exist. */
	readonly expected: ReadonlyMap<string, number>;
	/** Values to write, by key; undefined drops the row. */
	readonly values: ReadonlyMap<string, string | undefined>;
};

/** The platform's store. */
export type Store = {
	readonly read: (table: StoreTable) => Promise<StoreOutcome<TableRead>>;
	/** Waits up to `wait` milliseconds for changes after a version. */
	readonly follow: (table: StoreTable, options: {readonly after: number; readonly wait: number}) => Promise<StoreOutcome<TableRead>>;
	readonly commit: (change: StoreChange) => Promise<StoreOutcome<undefined>>;
};
