import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {StoreClock} from './store-clock.ts';

/** The timing of a call to the store that was answered. */
type AnsweredCall = {
	readonly sentAt: Instant;
	readonly answeredAt: Instant;
	/** Reading of the store's steady clock when it answered, in milliseconds. */
	readonly storeNow: number;
};

/** Milliseconds; a call that takes longer is too imprecise about when the store read its clock. */
const maxReadingCallMs = 150;

/** Milliseconds by which the two clocks of this host may have drifted apart before a reading is no longer used. */
const maxClockDriftMs = 100;

/**
 * Finds the latest moment as of which an answer of the store is known to be current.
 *
 * Without an earlier reading of the store's clock this is when the call was sent. With one, the time that has passed on
 * the store's clock since that reading tells when the store answered, so a long poll confirms its answer almost up to
 * the moment at which the answer arrived.
 *
 * @param clock The previous reading of the store's clock, if any.
 * @param call The timing of the call.
 * @returns The moment, and the reading to pass to the next call.
 */
export function findConfirmedAt(clock: StoreClock | undefined, call: AnsweredCall): {readonly confirmedAt: Instant; readonly clock: StoreClock | undefined} {
	const {sentAt, answeredAt, storeNow} = call;
	const isPrecise = findElapsed(sentAt, answeredAt) <= maxReadingCallMs;
	const fresh = isPrecise ? {store: storeNow, notAfter: sentAt} : undefined;
	if (clock === undefined || fresh !== undefined || !isUsable(clock, answeredAt)) {
		return {confirmedAt: sentAt, clock: fresh};
	}

	const elapsed = storeNow - clock.store;
	return {
		confirmedAt: {
			steady: clampBetween(clock.notAfter.steady + elapsed, sentAt.steady, answeredAt.steady),
			wall: clampBetween(clock.notAfter.wall + elapsed, sentAt.wall, answeredAt.wall),
		},
		clock,
	};
}

/** Checks whether both clocks of this host have advanced alike since the reading. */
function isUsable({notAfter}: StoreClock, now: Instant): boolean {
	const steady = now.steady - notAfter.steady;
	const wall = now.wall - notAfter.wall;
	return Math.abs(steady - wall) <= maxClockDriftMs;
}

function clampBetween(value: number, low: number, high: number): number {
	return Math.max(low, Math.min(value, high));
}
