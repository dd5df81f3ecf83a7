import type {Instant} from './instant.ts';
import type {StoreRow} from './store-row.ts';

/** Rows of a table as of one moment, as the store returned them. */
export type TableRead = {
	readonly rows: readonly StoreRow[];
	/** Version of the store to continue following from. */
	readonly version: number;
	/** Era of the store; it rises by one each time the store comes back from an older copy of its rows. */
	readonly era: number;
	/** Milliseconds of the store's steady clock at its answer. */
	readonly storeNow: number;
	readonly sentAt: Instant;
	readonly answeredAt: Instant;
};
