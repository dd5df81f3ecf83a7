import {createServiceTimer, type EndedWait} from '../waiting/mod.ts';
import {applyPaceObservation} from './apply-pace-observation.ts';
import {createEntryQueue} from './create-entry-queue.ts';
import {createPaceState} from './create-pace-state.ts';
import {createTakenPlaces} from './create-taken-places.ts';
import {createTransactionPermits} from './create-transaction-permits.ts';
import type {EnterOutcome} from './enter-outcome.ts';
import type {EnteringRequest} from './entering-request.ts';
import type {PaceBounds} from './pace-bounds.ts';
import type {PaceObservation} from './pace-observation.ts';
import type {PaceState} from './pace-state.ts';
import type {StatementGate} from './statement-gate.ts';
import type {StatementPlace} from './statement-place.ts';
import type {TransactionPermit} from './transaction-permit.ts';

type Options = {
	readonly findBounds: () => PaceBounds;
	/** Returns the maximum number of connections to the instance. */
	readonly findConnectionLimit: () => number;
	/** Lists the workspaces that have an idle connection. */
	readonly listIdleWorkspaces: () => ReadonlySet<string>;
	/** Called when the limit or the phase has changed. */
	readonly onChanged: (change: {readonly previous: PaceState; readonly state: PaceState}) => void;
	/** Called when a request no longer waits for a place. */
	readonly onWaitEnded?: ((wait: EndedWait) => void) | undefined;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** A request that waits for a place. */
type Waiter = EnteringRequest & {
	/** Ends the wait. */
	readonly end: (outcome: EnterOutcome, ended: EndedWait['outcome']) => void;
};

/** A time that follows the pace of the instance: a multiple of the recent latency, and at least so many milliseconds. */
type LatencyMultiple = {readonly latencyFactor: number; readonly minMs: number};

/** How long a statement of an open transaction waits at most. Statements in progress may wait for a lock that its transaction holds. */
const maxWithinWait: LatencyMultiple = {latencyFactor: 4, minMs: 50};

/** Largest share of the connections that open transactions hold, so that some are left for single statements. */
const transactionConnectionShare = 0.75;

/** After what time in progress a statement is overdue; see `createTakenPlaces`. */
const overdueAfter: LatencyMultiple = {latencyFactor: 8, minMs: 80};

/** Creates the gate of an instance that has just started. */
export function createStatementGate({
	findBounds, findConnectionLimit, listIdleWorkspaces, onChanged, onWaitEnded, now,
}: Options): StatementGate {
	let state = createPaceState();
	let isUsed = false;
	/** When the instance last answered, in milliseconds of the steady clock. */
	let answeredAt = Number.NEGATIVE_INFINITY;
	const falls = {latency: 0, busy: 0, failed: 0};

	const findLimit = () => Math.max(1, Math.min(state.limit, findConnectionLimit()));

	const findTransactionLimit = () => Math.max(1, Math.floor(findConnectionLimit() * transactionConnectionShare));

	const findLatencyMultipleMs = ({latencyFactor, minMs}: LatencyMultiple) => Math.max(minMs, latencyFactor * (state.recentLatency ?? 0));

	const permits = createTransactionPermits({findLimit: findTransactionLimit, now});
	const serviceTimer = createServiceTimer(now);
	const queue = createEntryQueue<Waiter>({
		permits,
		// A limit below the share rises within a few answers.
		findPace: () => ({...serviceTimer.findPace(), limit: Math.max(findLimit(), Math.min(findBounds().share, findConnectionLimit()))}),
		onRefused(waiter, {cause, ...room}) {
			waiter.end({kind: 'busy', ...room}, cause);
		},
		jitter: Math.random,
	});
	/** What lets the waiting statements of open transactions enter, the first one in front. */
	const within: Array<() => void> = [];

	const countWaiting = () => queue.count() + within.length;

	const places = createTakenPlaces({
		findLimit,
		// Overdue statements hold connections, so some of these are kept for others.
		findOverdueLimit: () => Math.max(findLimit(), Math.floor(findConnectionLimit() / 2)),
		findOverdueMs: () => findLatencyMultipleMs(overdueAfter),
		onOverdue() {
			serve();
		},
		now,
	});

	const apply = (observation: PaceObservation) => {
		const previous = state;
		state = applyPaceObservation(state, {
			observation, bounds: findBounds(), inProgress: places.count() + 1, now: now(),
		});
		if (state.limit < previous.limit && observation.kind !== 'restarted') {
			falls[findFallCause(observation)]++;
		}

		if (state.limit !== previous.limit || state.phase !== previous.phase) {
			onChanged({previous, state});
		}
	};

	/** Takes a place; the time for which it is taken counts for predictions if a priority is given. */
	const takePlace = (priority?: number): StatementPlace => {
		const taken = places.take();
		if (priority !== undefined) {
			serviceTimer.begin(taken, priority);
		}

		isUsed = true;
		return {
			leave(observation) {
				if (places.giveBack(taken)) {
					recordEnd(observation, taken);
					serve();
				}
			},
		};
	};

	/** Takes the end of a statement into account: for the pace, for predictions, and for whether the instance can be reached. */
	const recordEnd = (observation: PaceObservation, taken: ReturnType<typeof places.take>) => {
		apply(observation);
		// A statement without an answer tells nothing: it was not sent, or its place is passed on before its time is over.
		if (observation.kind === 'answered') {
			serviceTimer.end(taken);
		}

		if (observation.kind === 'answered' || observation.kind === 'busy') {
			answeredAt = now();
		} else if (observation.kind === 'unreachable' && answeredAt < taken.takenAt) {
			refuseAll();
		}
	};

	/** Tells all requests that wait for a place that the instance cannot be reached, so that they are tried elsewhere. */
	const refuseAll = () => {
		for (const waiter of queue.takeAll()) {
			waiter.end({kind: 'unreachable'}, 'unreachable');
		}
	};

	/** Takes a place for a request that need not wait, or no longer. */
	const enterNow = ({priority}: Pick<EnteringRequest, 'priority'>, permit: TransactionPermit | undefined): EnterOutcome => ({
		kind: 'entered',
		place: takePlace(priority),
		endTransaction() {
			permit?.end();
			serve();
		},
	});

	/** Lets the next request enter; returns whether one may. */
	const serveNext = (): boolean => {
		const enterWithin = within.shift();
		if (enterWithin !== undefined) {
			enterWithin();
			return true;
		}

		if (queue.count() === 0) {
			return false;
		}

		const idle = listIdleWorkspaces();
		const next = queue.take(now(), workspace => idle.has(workspace));
		next?.end(enterNow(next, next.permit), 'served');
		return next !== undefined;
	};

	/** Lets waiting requests enter while there are places. */
	const serve = () => {
		while (places.hasFree() && serveNext()) {
			// Each turn takes a place.
		}

		if (countWaiting() > 0) {
			places.watch();
		}
	};

	const wait = async (request: EnteringRequest) => new Promise<EnterOutcome>(resolve => {
		const timer = setTimeout(() => {
			queue.expire(waiter, now());
			// Another transaction may have its permit.
			serve();
		}, request.deadline - now());
		const waiter: Waiter = {
			...request,
			end(outcome, ended) {
				clearTimeout(timer);
				if (outcome.kind !== 'entered') {
					waiter.permit?.end();
				}

				onWaitEnded?.({outcome: ended, priority: request.priority, waitedMs: now() - request.since});
				resolve(outcome);
			},
		};
		queue.add(waiter);
		// Those that wait already may be transactions that cannot begin, while there are places.
		serve();
	});

	/** Waits for the place of a statement of an open transaction, and takes one beyond the limit when the longest wait is over. */
	const waitWithin = async () => new Promise<StatementPlace>(resolve => {
		const enter = () => {
			clearTimeout(timer);
			resolve(takePlace());
		};

		const timer = setTimeout(() => {
			within.splice(within.indexOf(enter), 1);
			enter();
		}, findLatencyMultipleMs(maxWithinWait));
		within.push(enter);
		serve();
	});

	return {
		async enter(request) {
			if (within.length === 0 && queue.mayPassBy(request.kind) && places.hasFree()) {
				return enterNow(request, request.kind === 'begin' ? permits.take(request.priority) : undefined);
			}

			return request.deadline > now() ? wait(request) : {kind: 'busy'};
		},
		enterWithin: async () => within.length === 0 && places.hasFree() ? takePlace() : waitWithin(),
		enterCommit: () => takePlace(),
		restart() {
			apply({kind: 'restarted'});
		},
		readLoad: () => ({
			inProgress: places.count(), waiting: countWaiting(), limit: findLimit(), openTransactions: permits.count(), isUsed, falls: {...falls},
		}),
	};
}

function findFallCause({kind}: PaceObservation): 'latency' | 'busy' | 'failed' {
	if (kind === 'answered') {
		return 'latency';
	}

	return kind === 'busy' ? 'busy' : 'failed';
}
