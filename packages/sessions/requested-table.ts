import type {TableMark} from './table-mark.ts';

/** State of a table at the host that requests it from another host. */
export type RequestedTable = {
	/** Mark of the cached rows; undefined if the host requests all rows. */
	readonly mark: TableMark | undefined;
	/** Milliseconds since the store confirmed the cached rows. */
	readonly age: number;
};
