import type {Instant} from './instant.ts';
import type {StoreRow} from './store-row.ts';
import type {TableMark} from './table-mark.ts';

/** A table of the store as a host has cached it. */
export type CachedTable = {
	readonly rows: ReadonlyMap<string, StoreRow>;
	/** Version of the store that the rows reflect. */
	readonly version: number;
	readonly mark: TableMark;
	/** Moment as of which the store confirmed the rows. */
	readonly confirmedAt: Instant;
	/** Name of the host that read the rows from the store. */
	readonly reader: string;
};
