import type {RetryBudget} from './retry-budget.ts';

/** Retries that each first attempt allows, so that retries add at most a fifth to the load in the long run. */
const retriesPerRequest = 0.2;

/** Most retries that a budget can hold. Covers the requests that are in flight when a primary fails. */
const maxSavedRetries = 200;

/** Adds the retries that the first attempt of one request allows. */
export function addRetryCredit(budget: RetryBudget): RetryBudget {
	return {retries: Math.min(maxSavedRetries, budget.retries + retriesPerRequest)};
}
