import {findElapsed} from '../find-elapsed.ts';
import type {Instant} from '../instant.ts';
import {permitLifetimeMs} from './permit-lifetime-ms.ts';
import type {Permit} from './permit.ts';

/** Whether a statement may still be sent with a permit; checked immediately before it is sent. */
export function isPermitValid({requestedAt}: Permit, now: Instant): boolean {
	return findElapsed(requestedAt, now) < permitLifetimeMs;
}
