import type {Instant} from './instant.ts';

/**
 * Finds an upper bound on the milliseconds that have passed since a moment.
 *
 * Takes the larger difference of the two clocks, since the steady clock may stop while the host is suspended. A jump of
 * the wall clock can therefore make data look older than it is, but never younger.
 *
 * @example
 * findElapsed({steady: 10, wall: 1000}, {steady: 15, wall: 1005}); // 5
 */
export function findElapsed(since: Instant, now: Instant): number {
	return Math.max(now.steady - since.steady, now.wall - since.wall);
}
