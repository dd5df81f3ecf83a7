/** Upper bound on the statements that a cold instance gets in any second, relative to its rate. */
export type WarmupBound = {
	/** Factor by which the rate may be exceeded. */
	readonly overage: number;
	/** Statements allowed in addition to `overage`. */
	readonly slack: number;
};
