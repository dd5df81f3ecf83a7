import {createShareState} from './create-share-state.ts';
import {findHeldRate} from './find-held-rate.ts';
import {findSpareOperations} from './find-spare-operations.ts';
import type {Instant} from './instant.ts';
import type {RateBound} from './rate-bound.ts';
import type {ShareState} from './share-state.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly limits: WorkspaceLimits;
	readonly bound: RateBound;
	/** Hosts over which the rate is spread. */
	readonly hostCount: number;
	readonly now: Instant;
};

type Taken = {
	readonly share: ShareState;
	readonly isTaken: boolean;
	/** Milliseconds until an operation may run; 0 when it was taken. */
	readonly retryAfter: number;
};

const millisecondsPerSecond = 1000;

/** Share of the spare operations that all hosts together may save up. */
const savedPart = 0.75;

/** Share of the spare operations that hosts together may use in a window without asking the home. */
const unaskedPart = 0.2;

/** Milliseconds in which the memory of demand fades to a third. */
const demandFade = 1500;

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
		limits, bound, hostCount, now,
	} = options;
	const old = share ?? createShareState(now);
	const spare = findSpareOperations(limits, bound);
	const held = findHeldRate(old, now).rate;
	const unasked = unaskedPart * spare * millisecondsPerSecond / bound.window / hostCount;
	const rate = held + unasked;
	const capacity = savedPart * spare * ((0.5 / hostCount) + (0.5 * held / Math.max(limits.rate, 1e-9)));
	const elapsed = Math.max(0, now.steady - old.refilledAt);
	const level = Math.min(capacity, old.level + (elapsed * rate / millisecondsPerSecond));
	const known = {...addDemand(old, now), level, refilledAt: now.steady};
	if (level >= 1) {
		return {share: {...known, level: level - 1}, isTaken: true, retryAfter: 0};
	}

	const wait = (1 - level) * millisecondsPerSecond / rate;
	return {share: known, isTaken: false, retryAfter: Math.max(leastRetry, Math.min(mostRetry, wait))};
}

function addDemand(share: ShareState, now: Instant): ShareState {
	const elapsed = Math.max(0, now.steady - share.demandAt);
	const faded = share.demand * Math.exp(-elapsed / demandFade);
	return {...share, demand: faded + (millisecondsPerSecond / demandFade), demandAt: now.steady};
}
