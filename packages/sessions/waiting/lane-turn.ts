/** When a request is served, compared with the others of its priority. */
export type LaneTurn = {
	/** Number of the round in which it is served. */
	readonly round: number;
	/** Whether it misses its target. */
	readonly isLate: boolean;
	/** Its target, or its deadline if it misses the target, in milliseconds of the steady clock. */
	readonly due: number;
};
