import type {OpenConnectionOutcome} from '../open-connection-outcome.ts';
import {
	createServiceTimer, createWaitingQueue, type EndedWait, type WaitingRequest,
} from '../waiting/mod.ts';
import type {AcquireOutcome} from './acquire-outcome.ts';
import type {AcquireRequest} from './acquire-request.ts';
import {chooseEviction} from './choose-eviction.ts';
import {createConnectionAllowance} from './create-connection-allowance.ts';
import {createWorkspaceDemand} from './create-workspace-demand.ts';
import type {InstancePool} from './instance-pool.ts';
import {isResetAlone} from './is-reset-alone.ts';
import type {PooledConnection} from './pooled-connection.ts';

type Options = {
	/** Opens a connection for a workspace. */
	readonly open: (workspace: string) => Promise<OpenConnectionOutcome>;
	/** Maximum number of connections. */
	readonly limit: number;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
	/** Called when a request no longer waits for a connection. */
	readonly onWaitEnded?: ((wait: EndedWait) => void) | undefined;
};

/** For whom a connection is taken. */
type Taker = Pick<AcquireRequest, 'workspace' | 'priority'>;

/** A request that waits for a connection. */
type Waiter = WaitingRequest & {
	/** Ends the wait with a connection, or with the cause of a refusal. */
	readonly end: (outcome: AcquireOutcome, cause?: 'expired' | 'overdue') => void;
};

/**
 * Creates the pool of connections to an instance.
 *
 * A connection belongs to one workspace. At the limit, an idle connection is closed to make room for a new one; see
 * `chooseEviction`. The limit falls when the instance refuses a connection because it has too many; see
 * `createConnectionAllowance`. Requests wait in the order of `createWaitingQueue`.
 */
export function createInstancePool(options: Options): InstancePool {
	const connections = new Set<PooledConnection>();
	const serviceTimer = createServiceTimer(options.now);
	const demand = createWorkspaceDemand();
	const queue = createWaitingQueue<Waiter>({
		// After the limit was lowered, the connections that are left over still serve requests.
		findPace: () => ({...serviceTimer.findPace(), limit: Math.max(allowance.find(), connections.size)}),
		onRefused(waiter, {cause, ...room}) {
			waiter.end({kind: 'busy', ...room}, cause);
		},
		jitter: Math.random,
	});
	const allowance = createConnectionAllowance({
		limit: options.limit,
		hasWaiting: () => queue.count() > 0,
		onRise() {
			serveNext();
		},
		now: options.now,
	});
	let opening = 0;
	let isClosed = false;

	const closeConnection = (pooled: PooledConnection) => {
		connections.delete(pooled);
		pooled.connection.close();
	};

	/** Lists the idle connections, the one that has been idle for longest first. */
	const listIdle = () => {
		for (const pooled of connections) {
			if (!pooled.isBusy && pooled.connection.isClosed()) {
				connections.delete(pooled);
			}
		}

		return [...connections].filter(({isBusy}) => !isBusy).toSorted((a, b) => a.idleSince - b.idleSince);
	};

	const hasRoom = () => connections.size + opening < allowance.find();

	/** Closes an idle connection if the limit is reached; returns whether another may be opened. */
	const makeRoom = (): boolean => {
		if (hasRoom()) {
			return true;
		}

		const evicted = chooseEviction(listIdle(), workspace => demand.findRecent(workspace, options.now()));
		if (evicted !== undefined) {
			closeConnection(evicted);
		}

		return hasRoom();
	};

	/** Opens a connection; an exception counts as an instance that did not answer, so that the waiter is answered. */
	const tryOpen = async (workspace: string): Promise<OpenConnectionOutcome> => {
		opening++;
		try {
			return await options.open(workspace);
		} catch {
			// The session is told that the instance is unreachable; a fault of one attempt must not end the process.
			return {kind: 'unanswered'};
		} finally {
			opening--;
		}
	};

	const countOpen = () => [...connections].filter(({connection}) => !connection.isClosed()).length;

	const fail = async (outcome: Exclude<OpenConnectionOutcome, {readonly kind: 'opened'}>, startedAt: number): Promise<AcquireOutcome> => {
		const isFull = outcome.kind === 'unanswered'
			? await isResetAlone({startedAt, countOpen, now: options.now})
			: outcome.kind === 'refused' && outcome.code === 'tooManyConnections';
		if (isFull) {
			allowance.recordRefusal(countOpen());
		}

		serveNext();
		return {kind: isFull || (outcome.kind === 'refused' && outcome.code !== 'moved') ? 'busy' : 'unreachable'};
	};

	const open = async ({workspace, priority}: Taker): Promise<AcquireOutcome> => {
		const startedAt = options.now();
		const outcome = await tryOpen(workspace);
		if (outcome.kind !== 'opened') {
			return fail(outcome, startedAt);
		}

		const pooled: PooledConnection = {
			connection: outcome.connection, workspace, variables: new Map(), prepared: new Map(), isBusy: true, idleSince: 0,
		};
		connections.add(pooled);
		serviceTimer.begin(pooled, priority);
		return {kind: 'acquired', connection: pooled, openMs: options.now() - startedAt};
	};

	const take = ({workspace, priority}: Taker): PooledConnection | undefined => {
		const pooled = listIdle().findLast(idle => idle.workspace === workspace);
		if (pooled !== undefined) {
			pooled.isBusy = true;
			serviceTimer.begin(pooled, priority);
		}

		return pooled;
	};

	/** Serves waiters, next first, while the pool has an idle connection or room for a new one. */
	const serveNext = () => {
		while (hasRoom() || listIdle().length > 0) {
			const waiter = queue.take(options.now());
			if (waiter === undefined) {
				return;
			}

			void serve(waiter);
		}
	};

	const serve = async (waiter: Waiter) => {
		const pooled = take(waiter);
		if (pooled === undefined) {
			makeRoom();
			waiter.end(await open(waiter));
		} else {
			waiter.end({kind: 'acquired', connection: pooled, openMs: 0});
		}
	};

	/** Waits for a connection; resolves to `busy` after `timeout` milliseconds, or earlier if it cannot be served in time. */
	const wait = async ({workspace, priority, timeout, targetLatency}: AcquireRequest) => new Promise<AcquireOutcome>(resolve => {
		const since = options.now();
		const waitTimer = setTimeout(() => {
			queue.expire(waiter, options.now());
		}, timeout);
		const waiter: Waiter = {
			workspace,
			priority,
			since,
			deadline: since + timeout,
			target: targetLatency === undefined ? undefined : since + targetLatency,
			end(outcome, cause) {
				clearTimeout(waitTimer);
				options.onWaitEnded?.({outcome: cause ?? 'served', priority, waitedMs: options.now() - since});
				resolve(outcome);
			},
		};
		queue.add(waiter);
		allowance.watch();
	});

	return {
		async acquire(request) {
			demand.record(request.workspace, options.now());
			const idle = queue.count() === 0 ? take(request) : undefined;
			if (idle !== undefined) {
				return {kind: 'acquired', connection: idle, openMs: 0};
			}

			if (queue.count() === 0 && makeRoom()) {
				return open(request);
			}

			// Without a connection that could become idle, waiting is of no use.
			return request.timeout > 0 && connections.size + opening > 0 ? wait(request) : {kind: 'busy'};
		},
		release(pooled, isClean) {
			pooled.isBusy = false;
			pooled.idleSince = options.now();
			serviceTimer.end(pooled);
			if (!isClean || isClosed || connections.size > allowance.find() || pooled.connection.isClosed()) {
				closeConnection(pooled);
			}

			serveNext();
		},
		takeIdle() {
			const pooled = listIdle().at(-1);
			if (pooled !== undefined) {
				pooled.isBusy = true;
			}

			return pooled;
		},
		readLoad() {
			const idle = listIdle().length;
			return {
				busy: connections.size + opening - idle, idle, waiting: queue.count(), limit: allowance.find(),
			};
		},
		listIdleWorkspaces: () => new Set(listIdle().map(({workspace}) => workspace)),
		closeIdle(before) {
			for (const pooled of listIdle()) {
				if (pooled.idleSince < before) {
					closeConnection(pooled);
				}
			}
		},
		findLimit: allowance.find,
		setLimit: allowance.setLimit,
		close() {
			isClosed = true;
			for (const pooled of listIdle()) {
				closeConnection(pooled);
			}
		},
	};
}
