import {maxPermitsPerClaim} from './max-permits-per-claim.ts';
import type {Permit} from './permit.ts';

/** Adds the permits that the allocator lent to those of a host, oldest first. */
export function addPermits(permits: readonly Permit[], {units, requestedAt}: {readonly units: number; readonly requestedAt: Permit['requestedAt']}): readonly Permit[] {
	return [...permits, ...Array.from({length: Math.min(units, maxPermitsPerClaim)}, () => ({requestedAt}))];
}
