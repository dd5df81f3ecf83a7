import type {Instant} from './instant.ts';
import type {StoreRow} from './store-row.ts';

/** Rows of a table as of one moment, as the store returned them. */
export type TableRead = {
	readonly rows: readonly StoreRow[];
	/** Version of the store to continue following from; see `encodeStoreVersion`. */
	readonly version: number;
	/** Milliseconds of the store's steady clock at its answer. */
	readonly storeNow: number;
	readonly sentAt: Instant;
	readonly answeredAt: Instant;
};
