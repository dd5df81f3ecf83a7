import {
	addItem, createFairQueue, takeItem, type FairQueue,
} from '@sapphirefall/decisions';
import type {AcquireOutcome} from './acquire-outcome.ts';
import type {InstancePool} from './instance-pool.ts';
import type {OpenConnectionOutcome} from './open-connection-outcome.ts';
import type {PooledConnection} from './pooled-connection.ts';

type Options = {
	/** Opens a connection for a workspace. */
	readonly open: (workspace: string) => Promise<OpenConnectionOutcome>;
	/** Connections at most. */
	readonly limit: number;
	/** Present steady milliseconds. */
	readonly now: () => number;
};

type Waiter = {
	readonly workspace: string;
	readonly priority: number;
	readonly resolve: (outcome: AcquireOutcome) => void;
	isDone: boolean;
};

/**
 * Creates the pool of connections to an instance.
 *
 * A connection belongs to a workspace. When none is left for a workspace, an idle one of another workspace is
 * closed to make place. Waiting sessions are served by priority, and fairly between workspaces within one.
 */
export function createInstancePool(options: Options): InstancePool {
	const links = new Set<PooledConnection>();
	const queues = new Map<number, FairQueue<Waiter>>();
	let {limit} = options;
	let opening = 0;
	let waiting = 0;
	let isClosed = false;

	const drop = (link: PooledConnection) => {
		links.delete(link);
		link.connection.close();
	};

	const listIdle = () => {
		for (const link of links) {
			if (!link.isBusy && link.connection.isClosed()) {
				links.delete(link);
			}
		}

		return [...links].filter(({isBusy}) => !isBusy).toSorted((a, b) => a.idleSince - b.idleSince);
	};

	const makePlace = (): boolean => {
		if (links.size + opening < limit) {
			return true;
		}

		const [oldest] = listIdle();
		if (oldest !== undefined) {
			drop(oldest);
		}

		return links.size + opening < limit;
	};

	const open = async (workspace: string): Promise<AcquireOutcome> => {
		opening++;
		const startedAt = options.now();
		const outcome = await options.open(workspace);
		opening--;
		if (outcome.kind !== 'opened') {
			serveNext();
			return {kind: outcome.kind === 'refused' && outcome.code !== 'moved' ? 'busy' : 'unreachable'};
		}

		const link: PooledConnection = {
			connection: outcome.connection, workspace, values: new Map(), prepared: new Map(), isBusy: true, idleSince: 0,
		};
		links.add(link);
		return {kind: 'acquired', connection: link, openMs: options.now() - startedAt};
	};

	const take = (workspace: string): PooledConnection | undefined => {
		const link = listIdle().findLast(idle => idle.workspace === workspace);
		if (link !== undefined) {
			link.isBusy = true;
		}

		return link;
	};

	/** Gives a free place to the waiter whose turn it is. */
	const serveNext = () => {
		while (waiting > 0 && ( // eslint-disable-line no-unmodified-loop-condition -- `takeWaiter` lowers it
			links.size + opening < limit || listIdle().length > 0)) {
			const waiter = takeWaiter();
			if (waiter === undefined) {
				return;
			}

			void serve(waiter);
		}
	};

	const serve = async (waiter: Waiter) => {
		const link = take(waiter.workspace);
		waiter.isDone = true;
		if (link === undefined) {
			makePlace();
			waiter.resolve(await open(waiter.workspace));
		} else {
			waiter.resolve({kind: 'acquired', connection: link, openMs: 0});
		}
	};

	const takeWaiter = (): Waiter | undefined => {
		for (const priority of [...queues.keys()].toSorted((a, b) => a - b)) {
			const {queue, item} = takeItem(queues.get(priority) ?? createFairQueue<Waiter>(), () => 1);
			if (item === undefined) {
				queues.delete(priority);
				continue;
			}

			queues.set(priority, queue);
			if (!item.isDone) {
				waiting--;
				return item;
			}

			return takeWaiter();
		}

		return undefined;
	};

	const wait = async (workspace: string, priority: number, timeout: number) => new Promise<AcquireOutcome>(resolve => {
		const timer = setTimeout(() => {
			if (!waiter.isDone) {
				waiter.isDone = true;
				waiting--;
				resolve({kind: 'busy'});
			}
		}, timeout);
		const waiter: Waiter = {
			workspace,
			priority,
			resolve(outcome) {
				clearTimeout(timer);
				resolve(outcome);
			},
			isDone: false,
		};
		waiting++;
		queues.set(priority, addItem(queues.get(priority) ?? createFairQueue<Waiter>(), {workspace, item: waiter}));
	});

	return {
		async acquire({workspace, priority, timeout}) {
			const idle = waiting === 0 ? take(workspace) : undefined;
			if (idle !== undefined) {
				return {kind: 'acquired', connection: idle, openMs: 0};
			}

			if (waiting === 0 && makePlace()) {
				return open(workspace);
			}

			return timeout > 0 ? wait(workspace, priority, timeout) : {kind: 'busy'};
		},
		release(link, isClean) {
			link.isBusy = false;
			link.idleSince = options.now();
			if (!isClean || isClosed || links.size > limit || link.connection.isClosed()) {
				drop(link);
			}

			serveNext();
		},
		takeIdle() {
			const link = listIdle().at(-1);
			if (link !== undefined) {
				link.isBusy = true;
			}

			return link;
		},
		readLoad() {
			const idle = listIdle().length;
			return {
				busy: links.size + opening - idle, idle, waiting, limit,
			};
		},
		closeIdle(before) {
			for (const link of listIdle()) {
				if (link.idleSince < before) {
					drop(link);
				}
			}
		},
		setLimit(newLimit) {
			limit = newLimit;
		},
		close() {
			isClosed = true;
			for (const link of listIdle()) {
				drop(link);
			}
		},
	};
}
