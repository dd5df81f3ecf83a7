/** Bytes that one user of a budget has taken from it. */
export type BudgetShare = {
	/** Changes the taken bytes by a difference; takes none if that is too much for this user, or for all users together. */
	readonly change: (bytes: number) => 'taken' | 'tooMuch' | 'exhausted';
	/** Gives all bytes back. */
	readonly end: () => void;
};
