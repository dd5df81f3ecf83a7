/** A row of a table of the platform's store. */
export type StoreRow = {
	readonly key: string;
	/** Undefined for a deleted row. */
	readonly value: string | undefined;
	/** Version of the row's last change; 0 for a row that does not exist. */
	readonly version: number;
};
