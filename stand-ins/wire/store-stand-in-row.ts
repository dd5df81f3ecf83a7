/** A row of the simulated store, or what is left of one that was deleted. */
export type StoreStandInRow = {
	readonly table: string;
	readonly key: string;
	/** Text in Base64. */
	readonly value?: string;
	readonly ver: number;
	readonly tombstone?: boolean;
};
