/** The requests that are served before another one. */
export type WorkAhead = {
	readonly count: number;
	/** Milliseconds that it takes to serve them one after another; 0 if the pace was not measured. */
	readonly serviceMs: number;
};
