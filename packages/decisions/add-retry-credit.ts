import type {RetryBudget} from './retry-budget.ts';

/** Share of the requests that may be retries in the long run. */
const retryShare = 0.2;

/** Retries that may be saved up; covers the requests that are under way when a primary fails. */
const savedLimit = 200;

/** Adds what one first attempt of a request allows in retries. */
export function addRetryCredit(budget: RetryBudget): RetryBudget {
	return {retries: Math.min(savedLimit, budget.retries + retryShare)};
}
