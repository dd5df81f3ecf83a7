import type {RetryBudget} from './retry-budget.ts';

/** Takes one retry from a budget, if the budget holds at least one. */
export function takeRetry(budget: RetryBudget): {readonly budget: RetryBudget; readonly isTaken: boolean} {
	const isTaken = budget.retries >= 1;
	return {budget: isTaken ? {retries: budget.retries - 1} : budget, isTaken};
}
