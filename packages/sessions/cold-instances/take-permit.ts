import type {Instant} from '../instant.ts';
import {isPermitValid} from './is-permit-valid.ts';
import type {Permit} from './permit.ts';

/** Takes the permit that expires first; drops those that have expired. */
export function takePermit(permits: readonly Permit[], now: Instant): {readonly permits: readonly Permit[]; readonly permit: Permit | undefined} {
	const [permit, ...rest] = permits.filter(known => isPermitValid(known, now));
	return {permits: rest, permit};
}
