/** Version of the store within one of its eras. */
export type StoreVersion = {
	/** Rises by one each time the store comes back from an older copy; 1 at first. */
	readonly era: number;
	/** The store's counter of transactions, which goes back when a new era begins. */
	readonly counter: number;
};
