import {findElapsed} from '../find-elapsed.ts';
import type {Instant} from '../instant.ts';
import type {Evacuation} from './evacuation.ts';
import type {ZonePhase} from './zone-phase.ts';

type Options = {
	/** Milliseconds after the acknowledgement of an evacuation from which on nothing may be sent to the zone. */
	readonly limitMs: number;
	readonly now: Instant;
};

/** Milliseconds before the limit at which open transactions are rolled back, since what is sent must also arrive before it. */
const endingMarginMs = 1000;

/** Part of the margin at whose end nothing more is sent, not even a rollback. */
const closingMarginMs = 400;

/** Finds how the instances of an evacuated zone may be used now. */
export function findZonePhase(evacuation: Evacuation, {limitMs, now}: Options): ZonePhase {
	// How long the evacuation has been in force is not known to a host that started after it, which has no transactions there.
	if (evacuation.earliestAt === undefined) {
		return 'closed';
	}

	const remaining = limitMs - findElapsed(evacuation.earliestAt, now);
	if (remaining <= closingMarginMs) {
		return 'closed';
	}

	return remaining <= endingMarginMs ? 'ending' : 'leaving';
}
