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
	/** Number of hosts that share the rate. */
	readonly hostCount: number;
	readonly now: Instant;
	/** Whether this is the caller's first attempt; a second one follows a request to the rate allocator and adds no demand. */
	readonly isFirst: boolean;
};

type Taken = {
	readonly share: ShareState;
	readonly isTaken: boolean;
	/** Milliseconds after which to retry; 0 if the operation was taken. */
	readonly retryAfter: number;
};

const millisecondsPerSecond = 1000;

/** Maximum number of tokens that a share keeps even if its capacity is smaller, so that operations granted from the pool are not lost. */
const maxKeptTokens = 3;

/** Minimum milliseconds after which a refused caller may retry. */
const minRetryMs = 50;

/** Maximum milliseconds after which a refused caller may retry; shares move between hosts, so longer estimates would be wrong. */
const maxRetryMs = 2000;

/**
 * Takes an operation from a host's share of a workspace's rate.
 *
 * All hosts together never run more operations in a window than the bound allows: the granted shares sum up to at
 * most the rate, and the hosts' buckets and use without a grant sum up to less than the burst budget.
 */
export function takeOperation(share: ShareState | undefined, options: Options): Taken {
	const {
		limits, bound, hostCount, now, isFirst,
	} = options;
	const previous = share ?? createShareState(now);
	const burstBudget = findBurstBudget(limits, bound);
	const held = findHeldRate(previous, now).rate;
	const unallocatedRate = burstBudgetFractions.unallocated * burstBudget * millisecondsPerSecond / bound.window / hostCount;
	const rate = held + unallocatedRate;
	const capacity = burstBudget * ((burstBudgetFractions.bucketPerHost / hostCount) + (burstBudgetFractions.bucketByShare * held / Math.max(limits.rate, 1e-9)));
	const elapsed = Math.max(0, now.steady - previous.refilledAt);
	const maxTokens = Math.max(capacity, Math.min(previous.tokens, maxKeptTokens));
	const tokens = Math.min(maxTokens, previous.tokens + (elapsed * rate / millisecondsPerSecond));
	const updated = {...(isFirst ? addDemand(previous, now) : previous), tokens, refilledAt: now.steady};
	if (tokens >= 1) {
		return {share: {...updated, tokens: tokens - 1}, isTaken: true, retryAfter: 0};
	}

	const wait = (1 - tokens) * millisecondsPerSecond / rate;
	return {share: updated, isTaken: false, retryAfter: Math.max(minRetryMs, Math.min(maxRetryMs, wait))};
}

function addDemand(share: ShareState, now: Instant): ShareState {
	return {...share, demand: findDemand(share, now) + (millisecondsPerSecond / demandDecayMs), demandAt: now.steady};
}
