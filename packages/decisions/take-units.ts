import type {TokenBucket} from './token-bucket.ts';

const millisecondsPerSecond = 1000;

/**
 * Takes units from a token bucket.
 *
 * A new bucket is empty, so that a restarted host does not grant the burst a second time.
 *
 * @param bucket The bucket, or `undefined` for a new one.
 * @param options The cost in units, the rate in units per second, the burst in units, and monotonic milliseconds.
 * @returns The bucket afterwards, whether the units were taken, and the milliseconds until the bucket holds them,
 * 0 when they were taken.
 */
export function takeUnits(
	bucket: TokenBucket | undefined,
	options: {readonly cost: number; readonly rate: number; readonly burst: number; readonly now: number},
): {readonly bucket: TokenBucket; readonly isTaken: boolean; readonly retryAfter: number} {
	const {cost, rate, burst, now} = options;
	const previous = bucket ?? {units: 0, refilledAt: now};
	const elapsed = Math.max(0, now - previous.refilledAt);
	const units = Math.min(burst, previous.units + (elapsed * rate / millisecondsPerSecond));
	if (units >= cost) {
		return {bucket: {units: units - cost, refilledAt: now}, isTaken: true, retryAfter: 0};
	}

	const retryAfter = Math.ceil((cost - units) * millisecondsPerSecond / rate);
	return {bucket: {units, refilledAt: now}, isTaken: false, retryAfter};
}
