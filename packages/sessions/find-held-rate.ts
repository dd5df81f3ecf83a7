import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {ShareState} from './share-state.ts';

/** Finds the operations a second that a host still holds of what the home granted. */
export function findHeldRate({rate, requestedAt: askedAt, spanMs: span}: ShareState, now: Instant): {readonly rate: number; readonly left: number} {
	const left = span - findElapsed(askedAt, now);
	return left > 0 ? {rate, left} : {rate: 0, left: 0};
}
