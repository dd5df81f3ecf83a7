import type {WaitingRequest} from '../pools/waiting-request.ts';
import {applyPaceObservation} from './apply-pace-observation.ts';
import {createEntryQueue} from './create-entry-queue.ts';
import {createPaceState} from './create-pace-state.ts';
import {createTakenPlaces} from './create-taken-places.ts';
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
	/** Called when the limit or the phase has changed. */
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

/**
 * How long a statement of an open transaction waits at most: a multiple of the recent latency, and at least so many
 * milliseconds. Statements in progress may wait for a lock that its transaction holds.
 */
const withinWait = {latencyFactor: 4, minMs: 50};

/** When a statement is overdue: a multiple of the recent latency, and at least so many milliseconds. */
const overdue = {latencyFactor: 8, minMs: 80};

/** Creates the gate of an instance that has just started. */
export function createStatementGate({findBounds, findConnectionLimit, hasIdle, onChanged, now}: Options): StatementGate {
	let state = createPaceState();
	let openTransactions = 0;
	let isUsed = false;
	let answeredAt = Number.NEGATIVE_INFINITY;
	const falls = {latency: 0, busy: 0, failed: 0};

	const findLimit = () => Math.max(1, Math.min(state.limit, findConnectionLimit()));

	/** Transactions keep their connections, so those that are open leave enough for the statements in progress. */
	const findTransactionLimit = () => Math.max(1, findConnectionLimit() - findLimit());

	const findWaitMs = ({latencyFactor, minMs}: typeof overdue) => Math.max(minMs, latencyFactor * (state.recentLatency ?? 0));

	const isBlocked = (kind: EnterRequest['kind']) => kind === 'begin' && openTransactions >= findTransactionLimit();

	const queue = createEntryQueue<Waiter>({isBlocked, hasIdle, now});
	/** Statements of open transactions that wait. */
	const within: Array<() => void> = [];

	const countWaiting = () => queue.count() + within.length;

	const places = createTakenPlaces({
		findLimit,
		// They hold connections, so some of these are kept for others.
		findOverdueLimit: () => Math.max(findLimit(), Math.floor(findConnectionLimit() / 2)),
		findOverdueMs: () => findWaitMs(overdue),
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

	const takePlace = (): StatementPlace => {
		const taken = places.take();
		isUsed = true;
		return {
			leave(observation) {
				if (places.giveBack(taken)) {
					recordEnd(observation, taken.takenAt);
					serve();
				}
			},
		};
	};

	const recordEnd = (observation: PaceObservation, startedAt: number) => {
		apply(observation);
		if (observation.kind === 'answered' || observation.kind === 'busy') {
			answeredAt = now();
		} else if (observation.kind === 'unreachable' && answeredAt < startedAt) {
			refuseAll();
		}
	};

	/** Tells all requests that wait for a place that the instance cannot be reached, so that they are tried elsewhere. */
	const refuseAll = () => {
		for (let waiter = queue.takeAny(); waiter !== undefined; waiter = queue.takeAny()) {
			waiter.resolve({kind: 'unreachable'});
		}
	};

	const enterNow = (kind: EnterRequest['kind']): EnterOutcome => {
		openTransactions += kind === 'begin' ? 1 : 0;
		return {kind: 'entered', place: takePlace()};
	};

	/** Lets the next request enter; returns whether one may. */
	const serveNext = (): boolean => {
		const enterWithin = within.shift();
		if (enterWithin !== undefined) {
			enterWithin();
			return true;
		}

		const next = queue.takeNext();
		next?.resolve(enterNow(next.kind));
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

	const wait = async ({kind, workspace, priority, deadline}: EnterRequest) => new Promise<EnterOutcome>(resolve => {
		const timer = setTimeout(() => {
			if (queue.remove(waiter)) {
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

	const waitWithin = async () => new Promise<StatementPlace>(resolve => {
		const enter = () => {
			clearTimeout(timer);
			resolve(takePlace());
		};

		const timer = setTimeout(() => {
			within.splice(within.indexOf(enter), 1);
			enter();
		}, findWaitMs(withinWait));
		within.push(enter);
		serve();
	});

	return {
		async enter(request) {
			if (countWaiting() === 0 && places.hasFree() && !isBlocked(request.kind)) {
				return enterNow(request.kind);
			}

			return request.deadline > now() ? wait(request) : {kind: 'busy'};
		},
		enterWithin: async () => within.length === 0 && places.hasFree() ? takePlace() : waitWithin(),
		enterCommit: takePlace,
		endTransaction() {
			openTransactions--;
			serve();
		},
		restart() {
			apply({kind: 'restarted'});
		},
		readLoad: () => ({
			inProgress: places.count(), waiting: countWaiting(), limit: findLimit(), openTransactions, isUsed, falls: {...falls},
		}),
	};
}

function findFallCause({kind}: PaceObservation): 'latency' | 'busy' | 'failed' {
	if (kind === 'answered') {
		return 'latency';
	}

	return kind === 'busy' ? 'busy' : 'failed';
}
