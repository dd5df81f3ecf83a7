/** Retries that a host may still make; a share of the requests adds to it, so that retries cannot multiply load. */
export type RetryBudget = {
	readonly retries: number;
};
