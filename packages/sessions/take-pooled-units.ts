import {takeUnits, type TokenBucket} from '@sapphirefall/decisions';
import {burstBudgetFractions} from './burst-budget-fractions.ts';
import {findBurstBudget} from './find-burst-budget.ts';
import type {RateBound} from './rate-bound.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	/** Operations that callers at the host wait for. */
	readonly needed: number;
	readonly limit: WorkspaceLimits;
	readonly bound: RateBound;
	/** Operations per second that are not assigned to any host. */
	readonly free: number;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

const millisecondsPerSecond = 1000;

/** Maximum number of operations that one claim gets from the pool. */
const maxPooledUnits = 8;

/**
 * Refills the allocator's pool from the unassigned rate and a fraction of the burst budget, and takes operations for waiting
 * callers; returns the pool and the number taken.
 */
export function takePooledUnits(bucket: TokenBucket, {
	needed, limit, bound, free, now,
}: Options): {readonly pool: TokenBucket; readonly units: number} {
	const burstBudget = findBurstBudget(limit, bound);
	const budgetRate = burstBudgetFractions.poolRefill * burstBudget * millisecondsPerSecond / bound.window;
	// Bucket capacity that belongs to unassigned shares is added to the pool.
	const capacityFraction = burstBudgetFractions.poolCapacity + (burstBudgetFractions.bucketByShare * free / Math.max(limit.rate, 1e-9));
	const refill = {rate: free + budgetRate, burst: capacityFraction * burstBudget, now};
	let {bucket: pool} = takeUnits(bucket, {cost: 0, ...refill});
	let units = 0;
	while (units < Math.min(needed, maxPooledUnits)) {
		const taken = takeUnits(pool, {cost: 1, ...refill});
		if (!taken.isTaken) {
			break;
		}

		pool = taken.bucket;
		units++;
	}

	return {pool, units};
}
