/** A row of a table of the platform's store. */
export type StoreRow = {
	readonly key: string;
	/** Undefined for a deleted row. */
	readonly value: string | undefined;
	/** Version of the row's last change, in the era in which the row was read; 0 for a row that does not exist. See `encodeStoreVersion`. */
	readonly version: number;
};
