import {createWaitingQueue} from '../pools/create-waiting-queue.ts';
import type {WaitingRequest} from '../pools/waiting-request.ts';
import {applyPaceObservation} from './apply-pace-observation.ts';
import {chooseWaiter} from './choose-waiter.ts';
import {createPaceState} from './create-pace-state.ts';
import type {EnterOutcome} from './enter-outcome.ts';
import type {PaceBounds} from './pace-bounds.ts';
import type {PaceObservation} from './pace-observation.ts';
import type {PaceState} from './pace-state.ts';
import type {StatementGate} from './statement-gate.ts';
import type {StatementPlace} from './statement-place.ts';

type Options = {
	readonly findBounds: () => PaceBounds;
	/** Returns the maximum number of connections to the instance. */
	readonly findConnectionLimit: () => number;
	/** Whether a workspace has an idle connection. */
	readonly hasIdle: (workspace: string) => boolean;
	/** Called when the state has changed. */
	readonly onChanged: (change: {readonly previous: PaceState; readonly state: PaceState}) => void;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

type EnterRequest = Parameters<StatementGate['enter']>[0];

/** A request that waits for a place. */
type Waiter = WaitingRequest & Pick<EnterRequest, 'kind'> & {
	passes: number;
	readonly resolve: (outcome: EnterOutcome) => void;
};

/** A place that is taken. */
type TakenPlace = {
	readonly startedAt: number;
	/** Whether the place counts; see `expireOverdue`. */
	isCounted: boolean;
};

/** Requests that are compared when a place is free, the next ones of the queue. */
const comparedCount = 8;

/** Open transactions for each statement in progress; their callers use some of the time between two statements. */
const transactionsPerStatement = 2;

/**
 * Milliseconds for which a statement of an open transaction waits at most. Statements in progress may wait for a lock that
 * its transaction holds.
 */
const maxWithinWaitMs = 50;

/** When a statement is overdue: a multiple of the recent latency, and at least so many milliseconds. */
const overdue = {latencyFactor: 6, minMs: 150};

/** Creates the gate of an instance that has just started. */
export function createStatementGate({findBounds, findConnectionLimit, hasIdle, onChanged, now}: Options): StatementGate {
	let state = createPaceState();
	const queue = createWaitingQueue<Waiter>();
	/** Requests that were taken from the queue to be compared, in its order. */
	const compared: Waiter[] = [];
	/** Statements of open transactions that wait. */
	const within: Array<() => void> = [];
	/** Places that are taken, the longest first. */
	const places = new Set<TakenPlace>();
	let counted = 0;
	let openTransactions = 0;
	let isUsed = false;
	let answeredAt = Number.NEGATIVE_INFINITY;
	let overdueTimer: NodeJS.Timeout | undefined;
	const falls = {latency: 0, busy: 0, failed: 0};

	const findLimit = () => Math.max(1, Math.min(state.limit, findConnectionLimit()));

	/** Transactions keep their connections, so those that are open leave enough for the statements in progress. */
	const findTransactionLimit = () => Math.max(1, Math.min(transactionsPerStatement * findLimit(), findConnectionLimit() - findLimit()));

	const isBlocked = ({kind}: Pick<Waiter, 'kind'>) => kind === 'begin' && openTransactions >= findTransactionLimit();

	const countWaiting = () => queue.count() + compared.length;

	const apply = (observation: PaceObservation) => {
		const previous = state;
		state = applyPaceObservation(state, {
			observation, bounds: findBounds(), inProgress: places.size + 1, now: now(),
		});
		if (state.limit < previous.limit && observation.kind !== 'restarted') {
			falls[findFallCause(observation)]++;
		}

		if (state.limit !== previous.limit || state.phase !== previous.phase) {
			onChanged({previous, state});
		}
	};

	const takePlace = (): StatementPlace => {
		const taken: TakenPlace = {startedAt: now(), isCounted: true};
		places.add(taken);
		isUsed = true;
		counted++;
		return {
			leave(observation) {
				if (places.delete(taken)) {
					counted -= taken.isCounted ? 1 : 0;
					recordEnd(taken, observation);
					serve();
				}
			},
		};
	};

	const recordEnd = ({startedAt}: TakenPlace, observation: PaceObservation) => {
		apply(observation);
		if (observation.kind === 'answered' || observation.kind === 'busy') {
			answeredAt = now();
		} else if (observation.kind === 'unreachable' && answeredAt < startedAt) {
			refuseAll();
		}
	};

	/** Tells all requests that wait for a place that the instance cannot be reached, so that they are tried elsewhere. */
	const refuseAll = () => {
		for (let waiter = compared.shift() ?? queue.take(now()); waiter !== undefined; waiter = compared.shift() ?? queue.take(now())) {
			waiter.resolve({kind: 'unreachable'});
		}
	};

	const enterNow = (kind: Waiter['kind']): EnterOutcome => {
		openTransactions += kind === 'begin' ? 1 : 0;
		return {kind: 'entered', place: takePlace()};
	};

	/** Takes the request that enters next; undefined if none may. */
	const takeNext = (): Waiter | undefined => {
		while (compared.filter(waiter => !isBlocked(waiter)).length < comparedCount) {
			const waiter = queue.take(now());
			if (waiter === undefined) {
				break;
			}

			compared.push(waiter);
		}

		const next = chooseWaiter(compared, {isBlocked, hasIdle});
		if (next === undefined) {
			return undefined;
		}

		const index = compared.indexOf(next);
		for (const passed of compared.slice(0, index)) {
			passed.passes += isBlocked(passed) ? 0 : 1;
		}

		compared.splice(index, 1);
		return next;
	};

	/** Lets waiting requests enter while there are places. */
	const serve = () => {
		expireOverdue();
		while (counted < findLimit()) {
			const enterWaiting = within.shift();
			const next = enterWaiting === undefined ? takeNext() : undefined;
			if (enterWaiting === undefined && next === undefined) {
				break;
			}

			enterWaiting?.();
			next?.resolve(enterNow(next.kind));
		}

		watchOverdue();
	};

	const findOverdueMs = () => Math.max(overdue.minMs, overdue.latencyFactor * (state.recentLatency ?? 0));

	/**
	 * Counts overdue statements no longer: the instance may have lost their answers and freed their slots. As many as the
	 * limit are left out, so that an instance that has become slow gets twice the limit at most.
	 */
	const expireOverdue = () => {
		const before = now() - findOverdueMs();
		for (const taken of places) {
			if (taken.startedAt > before || places.size - counted >= findLimit()) {
				return;
			}

			if (taken.isCounted) {
				taken.isCounted = false;
				counted--;
			}
		}
	};

	/** Wakes the gate when a statement becomes overdue while requests wait. */
	const watchOverdue = () => {
		clearTimeout(overdueTimer);
		const oldest = [...places].find(({isCounted}) => isCounted);
		if (countWaiting() + within.length > 0 && oldest !== undefined && places.size - counted < findLimit()) {
			overdueTimer = setTimeout(serve, Math.max(1, oldest.startedAt + findOverdueMs() - now()));
		}
	};

	const removeWaiter = (waiter: Waiter): boolean => {
		const index = compared.indexOf(waiter);
		return index === -1 ? queue.remove(waiter) : compared.splice(index, 1).length > 0;
	};

	const wait = async ({kind, workspace, priority, deadline}: EnterRequest) => new Promise<EnterOutcome>(resolve => {
		const timer = setTimeout(() => {
			if (removeWaiter(waiter)) {
				resolve({kind: 'busy'});
			}
		}, deadline - now());
		const waiter: Waiter = {
			kind,
			workspace,
			priority,
			deadline,
			passes: 0,
			resolve(outcome) {
				clearTimeout(timer);
				resolve(outcome);
			},
		};
		queue.add(waiter);
		// Those that wait already may be transactions that cannot begin, while there are places.
		serve();
	});

	return {
		async enter(request) {
			if (countWaiting() + within.length === 0 && counted < findLimit() && !isBlocked(request)) {
				return enterNow(request.kind);
			}

			return request.deadline > now() ? wait(request) : {kind: 'busy'};
		},
		async enterWithin() {
			if (within.length === 0 && counted < findLimit()) {
				return takePlace();
			}

			return new Promise(resolve => {
				const timer = setTimeout(() => {
					within.splice(within.indexOf(enter), 1);
					resolve(takePlace());
				}, maxWithinWaitMs);
				const enter = () => {
					clearTimeout(timer);
					resolve(takePlace());
				};

				within.push(enter);
				serve();
			});
		},
		enterCommit: takePlace,
		endTransaction() {
			openTransactions--;
			serve();
		},
		restart() {
			apply({kind: 'restarted'});
		},
		readLoad: () => ({
			inProgress: places.size, waiting: countWaiting() + within.length, limit: findLimit(), openTransactions, isUsed, falls: {...falls},
		}),
	};
}

function findFallCause({kind}: PaceObservation): 'latency' | 'busy' | 'failed' {
	if (kind === 'answered') {
		return 'latency';
	}

	return kind === 'busy' ? 'busy' : 'failed';
}
