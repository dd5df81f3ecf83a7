import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';

/** Finds the milliseconds until a lease on a primary expires; 0 or less when it has expired. */
export function findLeaseRemaining(confirmedAt: Instant, now: Instant): number {
	return leaseDurationMs - findElapsed(confirmedAt, now);
}
