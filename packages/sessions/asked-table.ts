import type {TableMark} from './table-mark.ts';

/** What a host that asks another for a table knows of it. */
export type AskedTable = {
	/** Undefined when it wants all rows. */
	readonly mark: TableMark | undefined;
	/** Milliseconds since the store confirmed what it knows. */
	readonly age: number;
};
