import {permitLifetimeMs} from './permit-lifetime-ms.ts';
import type {WarmupBound} from './warmup-bound.ts';
import type {WarmupLimit} from './warmup-limit.ts';

/** The token bucket from which permits for an instance are lent. */
type PermitBucket = {
	/** Permits per second. */
	readonly rate: number;
	/** Most permits that are saved up; whole, and 0 if none may be lent. */
	readonly burst: number;
};

/** Length in milliseconds of the window in which statements are counted. */
const windowMs = 1000;

/** Fraction of the allowed statements that may be lent at once. */
const burstFraction = 0.25;

/** Fraction of the possible rate that is used, since hosts and the instance measure time differently. */
const rateFraction = 0.95;

/**
 * Finds the bucket with which no window has more statements than the bound allows.
 *
 * What is sent in a window was lent in it or in a permit's lifetime before it. In that time the bucket gives at most its
 * burst and what it is refilled with.
 */
export function findPermitBucket({rate}: Pick<WarmupLimit, 'rate'>, {overage, slack}: WarmupBound): PermitBucket {
	const allowed = Math.floor((rate * overage) + slack);
	if (allowed < 1) {
		return {rate: 0, burst: 0};
	}

	const burst = Math.max(1, Math.floor(allowed * burstFraction));
	const seconds = (windowMs + permitLifetimeMs) / 1000;
	return {rate: Math.min(rate, rateFraction * (allowed + 1 - burst) / seconds), burst};
}
