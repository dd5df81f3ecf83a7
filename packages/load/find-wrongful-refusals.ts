import {resultCodes} from '@sapphirefall/decisions';
import type {LoadPlan} from './load-plan.ts';
import type {RequestOutcome} from './request-outcome.ts';

const millisecondsPerSecond = 1000;

/**
 * Finds the requests that were refused for the rate of their workspace although they were within it.
 *
 * The reference is one token bucket per workspace for the whole fleet. It is full at the start and takes the requests
 * in the order in which they were sent. Requests that it admits must not be refused.
 */
export function findWrongfulRefusals(plan: LoadPlan, outcomes: readonly RequestOutcome[]): readonly RequestOutcome[] {
	return plan.workspaces.flatMap(({name, rate, burst}) => {
		let tokens = burst;
		let refilledAt = 0;
		return outcomes
			.filter(({request}) => request.workspace === name)
			.toSorted((a, b) => a.sentAt - b.sentAt)
			.filter(({request, sentAt, code}) => {
				tokens = Math.min(burst, tokens + ((sentAt - refilledAt) * rate / millisecondsPerSecond));
				refilledAt = sentAt;
				const cost = plan.costs[request.class];
				if (tokens < cost) {
					return false;
				}

				tokens -= cost;
				return code === resultCodes.rateExceeded;
			});
	});
}
