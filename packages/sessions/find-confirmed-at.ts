import {findElapsed} from './find-elapsed.ts';
import type {Instant} from './instant.ts';
import type {StoreClock} from './store-clock.ts';

/** A call to the store that was answered. */
type AnsweredCall = {
	readonly sentAt: Instant;
	readonly answeredAt: Instant;
	/** Milliseconds of the store's steady clock at its answer. */
	readonly storeNow: number;
};

/** Milliseconds; a call that takes longer says too little about when the store read its clock. */
const shortCall = 150;

/** Milliseconds by which both clocks may differ before a reading is no longer trusted. */
const clockTolerance = 100;

/**
 * Finds the latest moment as of which an answer of the store is known to hold.
 *
 * Without a reading of the store's clock that is the moment at which the call was sent. With one, the store's
 * clock tells how much later it answered: a call that waited for changes then proves nearly the present.
 *
 * @param clock The last reading, if any.
 * @param call The call and its answer.
 * @returns The moment, and the reading to keep.
 */
export function findConfirmedAt(clock: StoreClock | undefined, call: AnsweredCall): {readonly confirmedAt: Instant; readonly clock: StoreClock | undefined} {
	const {sentAt, answeredAt, storeNow} = call;
	const isShort = findElapsed(sentAt, answeredAt) <= shortCall;
	const fresh = isShort ? {store: storeNow, notAfter: sentAt} : undefined;
	if (clock === undefined || fresh !== undefined || !isTrusted(clock, answeredAt)) {
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

/** Whether both clocks have run alike since the reading. */
function isTrusted({notAfter}: StoreClock, now: Instant): boolean {
	const steady = now.steady - notAfter.steady;
	const wall = now.wall - notAfter.wall;
	return Math.abs(steady - wall) <= clockTolerance;
}

function clampBetween(value: number, low: number, high: number): number {
	return Math.max(low, Math.min(value, high));
}
