import type {WaitingRequest} from './waiting-request.ts';
import {findTarget} from './find-target.ts';
import type {LaneTurn} from './lane-turn.ts';
import type {WaitingLane} from './waiting-lane.ts';

/** Finds the turn of the request at an index of a lane, counted over those on time and the late ones behind them; undefined if there is none. */
export function findLaneTurn<Request extends WaitingRequest>({onTime, late, round}: WaitingLane<Request>, index: number): LaneTurn | undefined {
	const request = onTime[index] ?? late[index - onTime.length];
	if (request === undefined) {
		return undefined;
	}

	const isLate = index >= onTime.length;
	return {round: round + index, isLate, due: isLate ? request.deadline : findTarget(request)};
}
