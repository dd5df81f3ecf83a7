import type {Instant} from './instant.ts';
import type {StoreRow} from './store-row.ts';
import type {TableMark} from './table-mark.ts';

/** A table of the store as a host knows it. */
export type CachedTable = {
	readonly rows: ReadonlyMap<string, StoreRow>;
	/** Version of the store as of which the rows are known. */
	readonly version: number;
	readonly mark: TableMark;
	readonly confirmedAt: Instant;
	/** Name of the host that read this from the store. */
	readonly reader: string;
};
