import type {WaitingRequest} from './waiting-request.ts';
import {addWork} from './add-work.ts';
import {compareTurns} from './compare-turns.ts';
import {findLaneTurn} from './find-lane-turn.ts';
import {findPassingWork} from './find-passing-work.ts';
import {findServiceMs} from './find-service-ms.ts';
import {isOverdue} from './is-overdue.ts';
import type {LaneTurn} from './lane-turn.ts';
import {nothingAhead} from './nothing-ahead.ts';
import type {ServicePace} from './service-pace.ts';
import type {WaitingClass} from './waiting-class.ts';
import type {WorkAhead} from './work-ahead.ts';

type Options = {
	readonly pace: ServicePace;
	readonly now: number;
};

type Overdue<Request> = {
	readonly request: Request;
	readonly ahead: WorkAhead;
};

/**
 * Lists the requests whose deadline has passed or will have passed when they are served, in the order of service.
 *
 * Those that are listed do not count as being ahead of others.
 *
 * @param classes Priorities, the most urgent first.
 */
export function listOverdue<Request extends WaitingRequest>(classes: ReadonlyArray<WaitingClass<Request>>, {pace, now}: Options): ReadonlyArray<Overdue<Request>> {
	const overdue: Array<Overdue<Request>> = [];
	let urgent = nothingAhead;
	for (const waitingClass of classes) {
		const {priority} = waitingClass;
		const serviceMs = findServiceMs(pace, priority);
		let ownCount = 0;
		for (const request of listInOrder(waitingClass)) {
			const ahead = addWork(findPassingWork({urgent, ownCount}), {count: ownCount, serviceMs});
			const remainingMs = request.deadline - now;
			if (remainingMs <= 0 || isOverdue({
				pace, ahead, priority, remainingMs,
			})) {
				overdue.push({request, ahead});
			} else {
				ownCount++;
			}
		}

		urgent = addWork(urgent, {count: ownCount, serviceMs});
	}

	return overdue;
}

function listInOrder<Request extends WaitingRequest>({listLanes}: WaitingClass<Request>): readonly Request[] {
	const turns: Array<{readonly request: Request; readonly turn: LaneTurn}> = [];
	for (const lane of listLanes()) {
		for (const [index, request] of [...lane.onTime, ...lane.late].entries()) {
			const turn = findLaneTurn(lane, index);
			if (turn !== undefined) {
				turns.push({request, turn});
			}
		}
	}

	return turns
		.toSorted((a, b) => compareTurns(a.turn, b.turn))
		.map(({request}) => request);
}
