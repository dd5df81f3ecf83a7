import {comparePoints} from '@sapphirefall/decisions';
import type {ReportedStatus} from './reported-status.ts';

/**
 * Chooses the instance with the newest log, so that the fewest writes are lost; of equal instances one outside of the evacuated
 * zones, then the first by id.
 *
 * Chooses a departing instance only when no other is left that may be promoted.
 */
export function chooseSuccessor(candidates: readonly ReportedStatus[], mayPromote: (candidate: ReportedStatus) => boolean): ReportedStatus | undefined {
	const allowed = candidates.filter(candidate => mayPromote(candidate));
	const remaining = allowed.filter(({isDeparting}) => !isDeparting);
	return (remaining.length > 0 ? remaining : allowed)
		.toSorted((a, b) => comparePoints(b.status.received, a.status.received) || Number(a.isEvacuated) - Number(b.isEvacuated) || (a.id < b.id ? -1 : 1))
		.at(0);
}
