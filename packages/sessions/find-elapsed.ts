import type {Instant} from './instant.ts';

/**
 * Finds how long ago a moment was at the most, in milliseconds.
 *
 * The larger of both clocks counts: a jump of the wall clock makes knowledge look too old, never too young.
 *
 * @example
 * findElapsed({steady: 10, wall: 1000}, {steady: 15, wall: 1005}); // 5
 */
export function findElapsed(since: Instant, now: Instant): number {
	return Math.max(now.steady - since.steady, now.wall - since.wall);
}
