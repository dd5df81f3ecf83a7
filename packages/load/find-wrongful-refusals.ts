import {resultCodes} from '@sapphirefall/decisions';
import type {LoadPlan} from './load-plan.ts';
import type {RequestOutcome} from './request-outcome.ts';

const millisecondsPerSecond = 1000;

/**
 * Finds the requests that were refused for their workspace's rate although they were within it.
 *
 * One bucket for the whole fleet, full at the start, takes the requests in the order of their arrival; what it
 * would have admitted may not be refused.
 */
export function findWrongfulRefusals(plan: LoadPlan, outcomes: readonly RequestOutcome[]): readonly RequestOutcome[] {
	return plan.workspaces.flatMap(({name, rate, burst}) => {
		let units = burst;
		let refilledAt = 0;
		return outcomes
			.filter(({request}) => request.workspace === name)
			.toSorted((a, b) => a.sentAt - b.sentAt)
			.filter(({request, sentAt, code}) => {
				units = Math.min(burst, units + ((sentAt - refilledAt) * rate / millisecondsPerSecond));
				refilledAt = sentAt;
				const cost = plan.costs[request.class];
				if (units < cost) {
					return false;
				}

				units -= cost;
				return code === resultCodes.rateExceeded;
			});
	});
}
