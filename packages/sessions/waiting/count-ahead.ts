import type {WaitingRequest} from '../pools/waiting-request.ts';
import {compareTurns} from './compare-turns.ts';
import {findLaneTurn} from './find-lane-turn.ts';
import type {LaneTurn} from './lane-turn.ts';
import {maxPasses} from './max-passes.ts';
import type {WaitingClass} from './waiting-class.ts';
import type {WaitingLane} from './waiting-lane.ts';

/**
 * Counts the requests that are served before a waiting one: those of more urgent priorities, those of its own whose turn
 * comes first, and of the others as many as may pass it.
 *
 * Undefined if the request does not wait. Requests that come later are not foreseen.
 */
export function countAhead<Request extends WaitingRequest>(classes: Iterable<WaitingClass<Request>>, request: Request): number | undefined {
	let ahead: number | undefined;
	let moreUrgent = 0;
	let lessUrgent = 0;
	for (const waitingClass of classes) {
		const {priority} = waitingClass;
		if (priority === request.priority) {
			ahead = countAheadInClass(waitingClass, request);
		} else if (priority < request.priority) {
			moreUrgent += waitingClass.count().all;
		} else {
			lessUrgent += waitingClass.count().all;
		}
	}

	return ahead === undefined ? undefined : ahead + moreUrgent + Math.min(lessUrgent, Math.floor((ahead + moreUrgent) / maxPasses));
}

function countAheadInClass<Request extends WaitingRequest>({listLanes}: WaitingClass<Request>, request: Request): number | undefined {
	const lanes = [...listLanes()];
	const own = lanes.find(({workspace}) => workspace === request.workspace);
	const index = own === undefined ? -1 : [...own.onTime, ...own.late].indexOf(request);
	const turn = own && findLaneTurn(own, index);
	if (turn === undefined) {
		return undefined;
	}

	let ahead = 0;
	for (const lane of lanes) {
		ahead += lane === own ? index : countBefore(lane, turn);
	}

	return ahead;
}

/** Counts the requests of a lane that are served before a turn. */
function countBefore<Request extends WaitingRequest>(lane: WaitingLane<Request>, turn: LaneTurn): number {
	const count = lane.onTime.length + lane.late.length;
	const earlierRounds = Math.max(0, Math.min(count, turn.round - lane.round));
	const inRound = lane.round + earlierRounds === turn.round ? findLaneTurn(lane, earlierRounds) : undefined;
	return earlierRounds + (inRound !== undefined && compareTurns(inRound, turn) < 0 ? 1 : 0);
}
