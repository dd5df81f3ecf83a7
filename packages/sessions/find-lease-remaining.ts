import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';

/**
 * Lifetime of a lease on a primary in milliseconds, counted from when the store last confirmed the primary.
 *
 * A successor is promoted only after every host has released the old primary, or after this time has passed since the
 * fence was set.
 */
const leaseDurationMs = 1800;

/** Finds the milliseconds until a lease on a primary expires; 0 or less when it has expired. */
export function findLeaseRemaining(confirmedAt: Instant, now: Instant): number {
	return leaseDurationMs - findElapsed(confirmedAt, now);
}
