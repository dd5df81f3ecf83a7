import type {StoreRow} from './store-row.ts';
import type {StoreTable} from './store-table.ts';
import type {TableMark} from './table-mark.ts';

/** Update of a table from another host's cache. */
export type TableUpdate = {
	readonly table: StoreTable;
	/** Version of the store that the update reflects. */
	readonly version: number;
	readonly mark: TableMark;
	/** Milliseconds since the store confirmed this state, at the time of the answer. */
	readonly age: number;
	/** Name of the host that read the rows from the store. */
	readonly reader: string;
	/** Whether `rows` holds all rows; otherwise only those with a version above the requesting host's mark. */
	readonly isWhole: boolean;
	readonly rows: readonly StoreRow[];
};
