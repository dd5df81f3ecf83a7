/** How far operations of a workspace may exceed its rate and burst over all hosts together. */
export type RateBound = {
	/** Milliseconds of the span in which operations are counted. */
	readonly window: number;
	/** Share by which rate and burst may be exceeded. */
	readonly overage: number;
	/** Operations beyond that. */
	readonly slack: number;
};
