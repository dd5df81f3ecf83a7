import type {WaitingRequest} from './waiting-request.ts';
import {addWork} from './add-work.ts';
import {compareTurns} from './compare-turns.ts';
import {findLaneTurn} from './find-lane-turn.ts';
import {findPassingWork} from './find-passing-work.ts';
import {findServiceMs} from './find-service-ms.ts';
import type {LaneTurn} from './lane-turn.ts';
import {maxPasses} from './max-passes.ts';
import {nothingAhead} from './nothing-ahead.ts';
import type {ServicePace} from './service-pace.ts';
import type {WaitingClass} from './waiting-class.ts';
import type {WaitingLane} from './waiting-lane.ts';
import type {WorkAhead} from './work-ahead.ts';

type Options<Request> = {
	readonly request: Request;
	readonly pace: ServicePace;
};

/**
 * Finds the requests that are served before a waiting one: those of more urgent priorities as far as they may pass it,
 * those of its own whose turn comes first, and of each other as many as may pass it.
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

	let urgent = nothingAhead;
	for (const {priority, count} of classes) {
		urgent = priority < request.priority ? addWork(urgent, {count: count().all, serviceMs: findServiceMs(pace, priority)}) : urgent;
	}

	const passing = findPassingWork({urgent, ownCount});
	let work = addWork(passing, {count: ownCount, serviceMs: findServiceMs(pace, request.priority)});
	for (const {priority, count} of classes) {
		const lower = priority > request.priority ? Math.min(count().all, Math.floor(work.count / maxPasses)) : 0;
		work = addWork(work, {count: lower, serviceMs: findServiceMs(pace, priority)});
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
