import {demandDecayMs} from './demand-decay-ms.ts';
import type {Instant} from './instant.ts';
import type {ShareState} from './share-state.ts';

/** Finds the exponentially smoothed operations per second that callers request. */
export function findDemand({demand, demandAt}: ShareState, now: Instant): number {
	return demand * Math.exp(-Math.max(0, now.steady - demandAt) / demandDecayMs);
}
