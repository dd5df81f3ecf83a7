import type {WaitingRequest} from './waiting-request.ts';
import {addSorted} from './add-sorted.ts';
import {findTarget} from './find-target.ts';
import type {WaitingLane} from './waiting-lane.ts';

/** Adds a request to its workspace's lane, as one that can still meet its target; `updateLane` finds out if it cannot. */
export function addToLane<Request extends WaitingRequest>(lane: WaitingLane<Request>, request: Request): WaitingLane<Request> {
	return {...lane, onTime: addSorted(lane.onTime, {item: request, findKey: findTarget})};
}
