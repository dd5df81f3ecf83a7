import type {WaitingRequest} from './waiting-request.ts';
import type {chooseLane} from './choose-lane.ts';
import {findServiceMs} from './find-service-ms.ts';
import {findTarget} from './find-target.ts';
import type {PriorityHead} from './priority-head.ts';
import type {ServicePace} from './service-pace.ts';
import type {WaitingClass} from './waiting-class.ts';

type Options = Parameters<typeof chooseLane>[1] & {
	readonly pace: ServicePace;
	readonly passes: number;
	readonly now: number;
};

/**
 * Creates the description of the request of a class that is served next; undefined if none waits.
 *
 * Updates the class before: which of its requests miss their target by now decides which one is next.
 */
export function createPriorityHead<Request extends WaitingRequest>(waitingClass: WaitingClass<Request>, {
	pace, passes, isPreferred, now,
}: Options): PriorityHead & {readonly request: Request} | undefined {
	const {priority} = waitingClass;
	const {limit = 1} = pace;
	const serviceMs = findServiceMs(pace, priority);
	waitingClass.update({serviceMs, now});
	const next = waitingClass.findNext({isPreferred});
	if (next === undefined) {
		return undefined;
	}

	const {request, isOnTime} = next;
	const due = isOnTime ? findTarget(request) : request.deadline;
	return {
		request,
		isOnTime,
		priority,
		passes,
		slackMs: Math.max(0, due - now - serviceMs),
		patienceMs: due - (request.since ?? due),
		backlogMs: waitingClass.count().onTime * serviceMs / Math.max(1, limit),
	};
}
