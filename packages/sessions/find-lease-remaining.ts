import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';

/**
 * Milliseconds for which a host may use a primary after the moment as of which the store named it.
 *
 * A successor is promoted only after all hosts have given the primary up, or this long after the fence.
 */
const leaseSpan = 2500;

/** Finds the milliseconds that a lease on a primary still lasts; 0 or less when it has lapsed. */
export function findLeaseRemaining(confirmedAt: Instant, now: Instant): number {
	return leaseSpan - findElapsed(confirmedAt, now);
}
