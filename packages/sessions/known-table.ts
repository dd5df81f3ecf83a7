import type {Instant} from './instant.ts';
import type {StoreRow} from './store-row.ts';

/** A table of the store as a host knows it. */
export type KnownTable = {
	readonly rows: ReadonlyMap<string, StoreRow>;
	/** Version of the store as of which the rows are known. */
	readonly version: number;
	/** Version of the last change that is among them. */
	readonly changedAt: number;
	readonly provenAt: Instant;
};
