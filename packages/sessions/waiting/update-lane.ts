import type {WaitingRequest} from './waiting-request.ts';
import {addSorted} from './add-sorted.ts';
import {countUpTo} from './count-up-to.ts';
import {findTarget} from './find-target.ts';
import type {WaitingLane} from './waiting-lane.ts';

type Options = {
	/** Milliseconds for which a request of the lane is served on average. */
	readonly serviceMs: number;
	readonly now: number;
};

/**
 * Moves the requests that would miss their target, even if they were served now, to the late ones of a lane.
 *
 * A late request is worth less than one that is on time, so that a backlog does not make each later request late as well.
 */
export function updateLane<Request extends WaitingRequest>(lane: WaitingLane<Request>, {serviceMs, now}: Options): WaitingLane<Request> {
	const missed = countUpTo(lane.onTime, {limit: now + serviceMs, findKey: findTarget});
	if (missed === 0) {
		return lane;
	}

	let {late} = lane;
	for (const request of lane.onTime.slice(0, missed)) {
		late = addSorted(late, {item: request, findKey: ({deadline}) => deadline});
	}

	return {...lane, onTime: lane.onTime.slice(missed), late};
}
