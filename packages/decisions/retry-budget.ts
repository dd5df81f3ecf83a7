/** The retry budget of a host. Each first attempt adds a fraction of a retry, so that retries cannot multiply the load. */
export type RetryBudget = {
	/** Retries that the host may still make; may be fractional. */
	readonly retries: number;
};
