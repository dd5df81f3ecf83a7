import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {ShareState} from './share-state.ts';

/**
 * Finds the operations per second that a host may still use of the last grant, and the milliseconds that are left of it.
 *
 * @returns Zeros once the grant has expired.
 */
export function findHeldRate({rate, requestedAt, spanMs}: ShareState, now: Instant): {readonly rate: number; readonly left: number} {
	const left = spanMs - findElapsed(requestedAt, now);
	return left > 0 ? {rate, left} : {rate: 0, left: 0};
}
