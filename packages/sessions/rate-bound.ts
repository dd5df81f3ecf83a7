/** Upper bound on the operations of a workspace in any window, relative to its rate and burst, over all hosts. */
export type RateBound = {
	/** Length of the window in milliseconds. */
	readonly window: number;
	/** Fraction by which rate and burst may be exceeded. */
	readonly overage: number;
	/** Operations allowed in addition to `overage`. */
	readonly slack: number;
};
