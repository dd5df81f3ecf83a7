import {addWork} from './add-work.ts';
import {choosePriority} from './choose-priority.ts';
import {createPriorityHead} from './create-priority-head.ts';
import {createRetryReservations} from './create-retry-reservations.ts';
import {createWaitingClass} from './create-waiting-class.ts';
import {findServiceMs} from './find-service-ms.ts';
import {findWait} from './find-wait.ts';
import {findWorkAhead} from './find-work-ahead.ts';
import {isOverdue} from './is-overdue.ts';
import {listOverdue} from './list-overdue.ts';
import {nothingAhead} from './nothing-ahead.ts';
import type {ServicePace} from './service-pace.ts';
import type {WaitingClass} from './waiting-class.ts';
import type {WaitingQueue} from './waiting-queue.ts';
import type {WaitingRefusal} from './waiting-refusal.ts';
import type {WaitingRequest} from './waiting-request.ts';
import type {WorkAhead} from './work-ahead.ts';

type Options<Request> = {
	/** Returns how fast requests are served. While it is not known, no request is refused before its deadline. */
	readonly findPace?: () => ServicePace;
	/** Called with each request that is refused, which waits no longer. Without it, none is refused. */
	readonly onRefused?: (request: Request, refusal: WaitingRefusal) => void;
	/** Returns a random number from 0 to 1, which spreads the times at which refused callers come back. */
	readonly jitter?: () => number;
};

type RefusalOptions = {
	/** What would have been served before the request. */
	readonly ahead: WorkAhead;
	readonly now: number;
};

/** Milliseconds between two searches for requests that cannot be served in time any more. */
const overdueCheckIntervalMs = 100;

const unknownPace: ServicePace = {serviceMs: undefined, limit: undefined};

/**
 * Creates an empty queue.
 *
 * It serves requests by priority (`choosePriority`), fairly between workspaces within a priority (`chooseLane`), and by
 * their due times within a workspace. It refuses those whose deadline has passed or cannot be met.
 */
export function createWaitingQueue<Request extends WaitingRequest>({
	findPace = () => unknownPace, onRefused, jitter = () => 0,
}: Options<Request> = {}): WaitingQueue<Request> {
	const waiting = new Set<Request>();
	const classes = new Map<number, WaitingClass<Request>>();
	/** Number of requests of other priorities that were served since the last one, by priority. */
	const passes = new Map<number, number>();
	const reservations = createRetryReservations(jitter);
	let takesSinceOvertaking = Number.POSITIVE_INFINITY;
	let checkedAt = Number.NEGATIVE_INFINITY;

	/** Lists the priorities with waiting requests, the most urgent first. */
	const listClasses = () => [...classes.values()].toSorted((a, b) => a.priority - b.priority);

	/** Removes a request; one that was served counts as its workspace's turn. */
	const drop = (request: Request, isServed: boolean) => {
		waiting.delete(request);
		const waitingClass = classes.get(request.priority);
		if (isServed) {
			waitingClass?.take(request);
		} else {
			waitingClass?.remove(request);
		}

		if (waitingClass?.count().all === 0) {
			classes.delete(request.priority);
			passes.delete(request.priority);
		}
	};

	/** Refuses a request whose deadline has passed; its caller comes back with as much time as it had. */
	const refuseExpired = (request: Request, {ahead, now}: RefusalOptions) => {
		drop(request, false);
		const {priority, deadline, since} = request;
		const retryAfterMs = since === undefined
			? undefined
			: reservations.add({
				priority, pace: findPace(), ahead, remainingMs: deadline - since, now,
			});
		onRefused?.(request, {cause: 'expired', ...retryAfterMs !== undefined && {retryAfterMs}});
	};

	const refuse = (request: Request, {ahead, now}: RefusalOptions) => {
		const {priority, deadline} = request;
		if (deadline <= now) {
			refuseExpired(request, {ahead, now});
			return;
		}

		drop(request, false);
		const retryAfterMs = reservations.add({
			priority, pace: findPace(), ahead, remainingMs: deadline - now, now,
		});
		onRefused?.(request, {cause: 'overdue', ahead: ahead.count, retryAfterMs});
	};

	/** Describes the request of each priority that is served next, the most urgent first; see `createPriorityHead`. */
	const listHeads = (now: number, isPreferred: (workspace: string) => boolean) => {
		const pace = findPace();
		return listClasses()
			.map(waitingClass => createPriorityHead(waitingClass, {
				pace, passes: passes.get(waitingClass.priority) ?? 0, isPreferred, now,
			}))
			.filter(head => head !== undefined);
	};

	/** Finds the request that is served next if it may overtake more urgent ones; `listHeads` first sorts out those that miss their target by now. */
	const findOvertaker = (now: number): Request | undefined => {
		const heads = listHeads(now, () => false);
		return choosePriority(heads, {takesSinceOvertaking: Number.POSITIVE_INFINITY})?.request;
	};

	/** Refuses the requests that cannot be served in time, as when they are served more slowly than they were when they came. */
	const refuseOverdue = (now: number) => {
		if (onRefused === undefined || now - checkedAt < overdueCheckIntervalMs) {
			return;
		}

		checkedAt = now;
		const overtaker = findOvertaker(now);
		for (const {request, ahead} of listOverdue(listClasses(), {pace: findPace(), now})) {
			if (request !== overtaker || request.deadline <= now) {
				refuse(request, {ahead, now});
			}
		}
	};

	const findAllWork = (pace: ServicePace): WorkAhead => {
		let work = nothingAhead;
		for (const {priority, count} of classes.values()) {
			work = addWork(work, {count: count().all, serviceMs: findServiceMs(pace, priority)});
		}

		return work;
	};

	/** Refuses a request that has just been added if it cannot be served in time. */
	const refuseAdded = (request: Request) => {
		const pace = findPace();
		const {since: now, deadline, priority} = request;
		if (onRefused === undefined || now === undefined || pace.limit === undefined || waiting.size <= pace.limit) {
			return;
		}

		const remainingMs = deadline - now;
		// The search for the requests ahead is left out where even all of them would leave time enough.
		if (!isOverdue({
			pace, ahead: findAllWork(pace), priority, remainingMs,
		})) {
			return;
		}

		classes.get(priority)?.update({serviceMs: findServiceMs(pace, priority), now});
		const ahead = findWorkAhead(listClasses(), {request, pace}) ?? nothingAhead;
		if (isOverdue({
			pace, ahead, priority, remainingMs,
		}) && findOvertaker(now) !== request) {
			refuse(request, {ahead, now});
		}
	};

	/** Chooses the request that is served next; undefined if none waits. */
	const choose = (now: number, isPreferred: (workspace: string) => boolean): Request | undefined => {
		const heads = listHeads(now, isPreferred);
		return choosePriority(heads, {takesSinceOvertaking})?.request;
	};

	/** Counts that a request is served, for the priorities that are passed over. */
	const recordServed = ({priority}: Request) => {
		const [first] = listClasses();
		takesSinceOvertaking = first !== undefined && priority > first.priority ? 0 : takesSinceOvertaking + 1;
		for (const other of classes.keys()) {
			passes.set(other, other === priority ? 0 : (passes.get(other) ?? 0) + 1);
		}
	};

	return {
		add(request) {
			const {priority} = request;
			const waitingClass = classes.get(priority) ?? createWaitingClass<Request>(priority);
			classes.set(priority, waitingClass);
			waiting.add(request);
			waitingClass.add(request);
			refuseAdded(request);
		},
		take(now, isPreferred = () => false) {
			refuseOverdue(now);
			for (;;) {
				const request = choose(now, isPreferred);
				if (request === undefined) {
					return undefined;
				}

				if (request.deadline > now || onRefused === undefined) {
					recordServed(request);
					drop(request, true);
					return request;
				}

				refuse(request, {ahead: nothingAhead, now});
			}
		},
		remove(request) {
			const isWaiting = waiting.has(request);
			if (isWaiting) {
				drop(request, false);
			}

			return isWaiting;
		},
		expire(request, now) {
			if (waiting.has(request)) {
				refuseExpired(request, {ahead: findWorkAhead(listClasses(), {request, pace: findPace()}) ?? nothingAhead, now});
			}
		},
		takeAll() {
			const all = [...waiting];
			waiting.clear();
			classes.clear();
			passes.clear();
			return all;
		},
		count: () => waiting.size,
		findWait(request) {
			const pace = findPace();
			const ahead = findWorkAhead(listClasses(), {request, pace});
			return ahead && findWait({pace, ahead, priority: request.priority});
		},
	};
}
