import type {WaitingLane} from './waiting-lane.ts';

/** Removes a request from a lane; the lane stays as it is if the request is not in it. */
export function dropFromLane<Request>(lane: WaitingLane<Request>, request: Request): WaitingLane<Request> {
	const {onTime, late} = lane;
	const index = onTime.indexOf(request);
	return index === -1
		? {...lane, late: late.filter(other => other !== request)}
		: {...lane, onTime: onTime.toSpliced(index, 1)};
}
