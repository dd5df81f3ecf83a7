/** The permission of a transaction to be open. */
export type TransactionPermit = {
	/** Gives the permission back. Further calls have no effect. */
	readonly end: () => void;
};
