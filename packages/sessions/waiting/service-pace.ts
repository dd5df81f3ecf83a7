/** How fast requests are served, as measured by the owner of a queue. */
export type ServicePace = {
	/** Milliseconds for which a request is served on average; undefined if that was not measured. */
	readonly serviceMs: number | undefined;
	/** Least milliseconds for which a request is served; 0 if undefined. */
	readonly leastServiceMs?: number | undefined;
	/** Returns the same average for the requests of a priority, if it was measured. */
	readonly findServiceMs?: ((priority: number) => number | undefined) | undefined;
	/** Number of requests that are served at a time; undefined if it is not known. */
	readonly limit: number | undefined;
};
