import type {WaitingRequest} from '../pools/waiting-request.ts';
import {compareTurns} from './compare-turns.ts';
import {findLaneTurn} from './find-lane-turn.ts';
import {findServiceMs} from './find-service-ms.ts';
import type {LaneTurn} from './lane-turn.ts';
import {maxPasses} from './max-passes.ts';
import type {ServicePace} from './service-pace.ts';
import type {WaitingClass} from './waiting-class.ts';
import type {WaitingLane} from './waiting-lane.ts';
import type {WorkAhead} from './work-ahead.ts';

type Options<Request> = {
	readonly request: Request;
	readonly pace: ServicePace;
};

/**
 * Finds the requests that are served before a waiting one: those of more urgent priorities, those of its own whose turn
 * comes first, and of each other as many as may pass it.
 *
 * Undefined if the request does not wait. Requests that come later are not foreseen.
 *
 * @param classes Priorities, the most urgent first.
 */
export function findWorkAhead<Request extends WaitingRequest>(classes: ReadonlyArray<WaitingClass<Request>>, {request, pace}: Options<Request>): WorkAhead | undefined {
	const own = classes.find(({priority}) => priority === request.priority);
	const ownCount = own && countAheadInClass(own, request);
	if (ownCount === undefined) {
		return undefined;
	}

	let work: WorkAhead = {count: 0, serviceMs: 0};
	for (const {priority, count} of classes) {
		const passing = Math.min(count().all, Math.floor(work.count / maxPasses));
		const added = priority < request.priority ? count().all : (priority === request.priority ? ownCount : passing);
		work = {count: work.count + added, serviceMs: work.serviceMs + (added * findServiceMs(pace, priority))};
	}

	return work;
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
