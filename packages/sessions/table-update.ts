import type {StoreRow} from './store-row.ts';
import type {StoreTable} from './store-table.ts';
import type {TableMark} from './table-mark.ts';

/** A table as another host knows it. */
export type TableUpdate = {
	readonly table: StoreTable;
	/** Version of the store as of which the rows are known. */
	readonly version: number;
	readonly mark: TableMark;
	/** Milliseconds since the store confirmed this. */
	readonly age: number;
	/** Name of the host that read this from the store. */
	readonly reader: string;
	/** Whether `rows` are all rows; else those that the asking host does not know, as far as its mark tells. */
	readonly isWhole: boolean;
	readonly rows: readonly StoreRow[];
};
