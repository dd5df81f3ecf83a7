import {createShareState} from './create-share-state.ts';
import {demandDecayMs} from './demand-decay-ms.ts';
import {findDemand} from './find-demand.ts';
import {findHeldRate} from './find-held-rate.ts';
import {findBurstBudget} from './find-burst-budget.ts';
import type {Instant} from './instant.ts';
import type {RateBound} from './rate-bound.ts';
import type {ShareState} from './share-state.ts';
import {burstBudgetFractions} from './burst-budget-fractions.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly limits: WorkspaceLimits;
	readonly bound: RateBound;
	/** Hosts over which the rate is spread. */
	readonly hostCount: number;
	readonly now: Instant;
	/** Whether the caller asks for the first time, and not again after the home was asked. */
	readonly isFirst: boolean;
};

type Taken = {
	readonly share: ShareState;
	readonly isTaken: boolean;
	/** Milliseconds until an operation may run; 0 when it was taken. */
	readonly retryAfter: number;
};

const millisecondsPerSecond = 1000;

/** Operations that the home gave at once, and that a full share keeps. */
const unitsKept = 3;

/** Milliseconds to wait at the least when nothing may run. */
const leastRetry = 50;

/** Milliseconds to wait at the most before asking again, since shares move. */
const mostRetry = 2000;

/**
 * Takes an operation from a host's share of a workspace's rate.
 *
 * All hosts together never run more in a window than the bound allows: granted shares sum up to the rate at the
 * most, and what hosts save up, and use without a grant, to less than the spare operations.
 */
export function takeOperation(share: ShareState | undefined, options: Options): Taken {
	const {
		limits, bound, hostCount, now, isFirst,
	} = options;
	const old = share ?? createShareState(now);
	const spare = findBurstBudget(limits, bound);
	const held = findHeldRate(old, now).rate;
	const unasked = burstBudgetFractions.unallocated * spare * millisecondsPerSecond / bound.window / hostCount;
	const rate = held + unasked;
	const capacity = spare * ((burstBudgetFractions.bucketPerHost / hostCount) + (burstBudgetFractions.bucketByShare * held / Math.max(limits.rate, 1e-9)));
	const elapsed = Math.max(0, now.steady - old.refilledAt);
	const ceiling = Math.max(capacity, Math.min(old.tokens, unitsKept));
	const level = Math.min(ceiling, old.tokens + (elapsed * rate / millisecondsPerSecond));
	const known = {...(isFirst ? addDemand(old, now) : old), tokens: level, refilledAt: now.steady};
	if (level >= 1) {
		return {share: {...known, tokens: level - 1}, isTaken: true, retryAfter: 0};
	}

	const wait = (1 - level) * millisecondsPerSecond / rate;
	return {share: known, isTaken: false, retryAfter: Math.max(leastRetry, Math.min(mostRetry, wait))};
}

function addDemand(share: ShareState, now: Instant): ShareState {
	return {...share, demand: findDemand(share, now) + (millisecondsPerSecond / demandDecayMs), demandAt: now.steady};
}
