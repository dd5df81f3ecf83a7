import type {RateBound} from './rate-bound.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

const millisecondsPerSecond = 1000;

/** Finds how many operations a workspace may run in one window in addition to its steady rate. */
export function findBurstBudget({rate, burst}: WorkspaceLimits, {window, overage, slack}: RateBound): number {
	const seconds = window / millisecondsPerSecond;
	return (overage * rate * seconds) + ((1 + overage) * burst) + slack;
}
