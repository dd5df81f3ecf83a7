import type {Instant} from './instant.ts';
import type {StoreRow} from './store-row.ts';

/** Rows of a table as of one moment. */
export type TableRead = {
	readonly rows: readonly StoreRow[];
	/** Version to follow the table from. */
	readonly version: number;
	/** Milliseconds of the store's steady clock. */
	readonly storeNow: number;
	readonly sentAt: Instant;
	readonly answeredAt: Instant;
};
