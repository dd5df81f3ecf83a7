import {comparePoints} from '@sapphirefall/decisions';
import type {ReportedStatus} from './reported-status.ts';

/**
 * Chooses the instance with the newest log, so that the fewest writes are lost; of equal instances the first by id.
 *
 * Chooses an instance of an evacuated zone only when no other is left, and a departing one only when nothing else is.
 */
export function chooseSuccessor(candidates: readonly ReportedStatus[]): ReportedStatus | undefined {
	const remaining = candidates.filter(({isDeparting}) => !isDeparting);
	const usable = remaining.filter(({isEvacuated}) => !isEvacuated);
	return [usable, remaining, candidates].find(group => group.length > 0)
		?.toSorted((a, b) => comparePoints(b.status.received, a.status.received) || (a.id < b.id ? -1 : 1))
		.at(0);
}
