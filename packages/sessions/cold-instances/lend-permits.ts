import {takeUnits, type TokenBucket} from '@sapphirefall/decisions';
import type {RateClaim} from '../rate-claim.ts';
import type {RateGrant} from '../rate-grant.ts';
import {findPermitBucket} from './find-permit-bucket.ts';
import {findPermitGroup} from './find-permit-group.ts';
import {maxPermitsPerClaim} from './max-permits-per-claim.ts';
import type {PermitState} from './permit-state.ts';
import type {WarmupBound} from './warmup-bound.ts';
import type {WarmupLimit} from './warmup-limit.ts';

type Options = {
	readonly claims: readonly RateClaim[];
	/** Limits by group. */
	readonly limits: ReadonlyMap<string, WarmupLimit>;
	readonly bound: WarmupBound;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

type Lent = {
	readonly state: PermitState;
	/** By the key of the instance. */
	readonly grants: ReadonlyMap<string, RateGrant>;
};

/**
 * Milliseconds after the last claim for which a bucket is kept. It is longer than a window and the lifetime of a permit, so
 * that no window has permits from before; instances are replaced for as long as the allocator holds its lease.
 */
const bucketRetentionMs = 10_000;

/**
 * Lends permits for instances to a host that has statements for them.
 *
 * An allocator lends nothing before its predecessor has stopped, and begins with an empty bucket then, so the permits of
 * both together stay within the bucket. Nothing depends on a list of hosts, and a permit whose answer is lost is not lent again.
 */
export function lendPermits(state: PermitState, {claims, limits, bound, now}: Options): Lent {
	const buckets = new Map([...state.buckets].filter(([, {refilledAt}]) => now - refilledAt < bucketRetentionMs));
	const grants = new Map<string, RateGrant>();
	for (const {workspace: key, needed} of claims) {
		const limit = limits.get(findPermitGroup(key) ?? '');
		if (limit === undefined || now < state.since) {
			continue;
		}

		const bucket = buckets.get(key) ?? {units: 0, refilledAt: state.since};
		const taken = takeWhole(bucket, {needed, ...findPermitBucket(limit, bound), now});
		buckets.set(key, taken.bucket);
		grants.set(key, {rate: 0, units: taken.units});
	}

	return {state: {...state, buckets}, grants};
}

type Need = {readonly needed: number; readonly rate: number; readonly burst: number; readonly now: number};

function takeWhole(bucket: TokenBucket, {needed, rate, burst, now}: Need): {readonly bucket: TokenBucket; readonly units: number} {
	const {bucket: refilled} = takeUnits(bucket, {
		cost: 0, rate, burst, now,
	});
	const units = Math.min(needed, maxPermitsPerClaim, Math.floor(refilled.units));
	return {bucket: {...refilled, units: refilled.units - units}, units};
}
