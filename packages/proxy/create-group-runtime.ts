import type {GroupView, InstanceReport} from '@sapphirefall/decisions';
import {
	createFailoverClient, createConnectionPool, openConnection, openProber, type FailoverClient, type Connection, type ConnectionPool, type Prober,
} from '@sapphirefall/endpoints';
import type {GroupRuntime} from './group-runtime.ts';

type Options = {
	readonly settings: {
		readonly connections: number;
		readonly directConnections: number;
		readonly idleSpan: number;
		readonly heartbeatInterval: number;
		readonly silenceLimit: number;
		readonly reconnectDelay: number;
		readonly commandTimeout: number;
	};
	readonly now: () => number;
	readonly onReport: (report: InstanceReport, sentAt: number) => void;
};

/** A pool and the monotonic milliseconds of its last use. */
type UsedPool = {readonly pool: ConnectionPool; usedAt: number};

type InstanceLinks = {
	readonly address: string;
	readonly prober: Prober;
	readonly commander: FailoverClient;
	/** Pools by use; absent while they are not used. */
	readonly pools: Map<'gateway' | 'direct', UsedPool>;
};

type Waiter = {
	readonly isUrgent: boolean;
	/** Ends the wait if the view holds what is looked for. */
	readonly check: (view: GroupView) => void;
};

/** Least milliseconds between two probes while an urgent wait is open. */
const urgentInterval = 2;

/** Milliseconds after which an urgent probe without answer is repeated. */
const urgentRepeat = 25;

/**
 * Creates the runtime of one database group.
 *
 * @param first The view at the start.
 * @param options Settings of connections, the clock, and what to do with reports of instances.
 */
export function createGroupRuntime(first: GroupView, options: Options): GroupRuntime {
	const links = new Map<string, InstanceLinks>();
	const owners = new WeakMap<Connection, ConnectionPool>();
	const waiters = new Set<Waiter>();
	const scopes = new Map<AbortController, number>();
	let view = first;
	let probedAt = -Infinity;
	let urgentTimer: NodeJS.Timeout | undefined;

	const probe = () => {
		probedAt = options.now();
		for (const {prober} of links.values()) {
			prober.probe();
		}
	};

	const probeUrgently = () => {
		const hasUrgent = [...waiters].some(({isUrgent}) => isUrgent);
		if (!hasUrgent) {
			clearTimeout(urgentTimer);
			urgentTimer = undefined;
			return;
		}

		const elapsed = options.now() - probedAt;
		if (elapsed >= urgentInterval) {
			probe();
		}

		clearTimeout(urgentTimer);
		urgentTimer = setTimeout(probeUrgently, elapsed >= urgentInterval ? urgentRepeat : urgentInterval);
	};

	const connectInstances = () => {
		for (const {id, address} of view.group.instances) {
			const known = links.get(id);
			if (known?.address !== address) {
				known?.prober.close();
				closePools(known);
				links.set(id, {
					address,
					prober: openProber(address, {...options, timeoutMs: options.settings.silenceLimit}),
					commander: createFailoverClient(address, options.settings.commandTimeout),
					pools: new Map(),
				});
			}
		}
	};

	const findPool = (instance: string, use: 'gateway' | 'direct'): ConnectionPool | undefined => {
		const link = links.get(instance);
		if (link === undefined) {
			return undefined;
		}

		const known = link.pools.get(use);
		if (known !== undefined) {
			known.usedAt = options.now();
			return known.pool;
		}

		const pool = createConnectionPool({
			open: async onClosed => openConnection(link.address, {...options.settings, now: options.now, onClosed}),
			size: use === 'gateway' ? options.settings.connections : options.settings.directConnections,
			retryDelayMs: options.settings.reconnectDelay,
			now: options.now,
		});
		link.pools.set(use, {pool, usedAt: options.now()});
		return pool;
	};

	/** Closes the pools that have not been used for a while, so that scarce connections go to those who need them. */
	const closeIdlePools = () => {
		for (const {pools} of links.values()) {
			for (const [use, {pool, usedAt}] of pools) {
				if (options.now() - usedAt > options.settings.idleSpan) {
					pool.close();
					pools.delete(use);
				}
			}
		}
	};

	const idleTimer = setInterval(closeIdlePools, options.settings.idleSpan);

	connectInstances();
	return {
		database: view.group.database,
		view: () => view,
		update(next) {
			const isTermNew = next.term > view.term;
			const isGroupNew = next.group !== view.group;
			view = next;
			if (isGroupNew) {
				connectInstances();
			}

			if (isTermNew) {
				abortOlder(scopes, next.term);
			}

			for (const waiter of waiters) {
				waiter.check(view);
			}

			if (waiters.size > 0) {
				probeUrgently();
			}
		},
		probe,
		async take(instance, demand) {
			const pool = findPool(instance, demand.isGateway ? 'gateway' : 'direct');
			const connection = await pool?.acquire(demand);
			if (connection !== undefined && pool !== undefined) {
				owners.set(connection, pool);
			}

			return connection;
		},
		give(connection) {
			owners.get(connection)?.release(connection);
		},
		async waitFor(find, {deadline, isUrgent}) {
			const found = find(view);
			if (found !== undefined) {
				return found;
			}

			return new Promise(resolve => {
				const timer = setTimeout(() => {
					waiters.delete(waiter);
					resolve(undefined);
				}, Math.max(0, deadline - options.now()));
				const waiter: Waiter = {
					isUrgent,
					check(next) {
						const found = find(next);
						if (found !== undefined) {
							clearTimeout(timer);
							waiters.delete(waiter);
							resolve(found);
						}
					},
				};
				waiters.add(waiter);
				probeUrgently();
			});
		},
		openScope(term, deadline) {
			const controller = new AbortController();
			const timer = setTimeout(() => {
				controller.abort();
			}, Math.max(0, deadline - options.now()));
			scopes.set(controller, term);
			return {
				signal: controller.signal,
				close() {
					clearTimeout(timer);
					scopes.delete(controller);
				},
			};
		},
		findCommander: instance => links.get(instance)?.commander,
		close() {
			clearTimeout(urgentTimer);
			clearInterval(idleTimer);
			for (const link of links.values()) {
				link.prober.close();
				closePools(link);
			}
		},
	};
}

function closePools(link: InstanceLinks | undefined): void {
	for (const {pool} of link?.pools.values() ?? []) {
		pool.close();
	}
}

/** Aborts the attempts of terms that have ended. */
function abortOlder(scopes: ReadonlyMap<AbortController, number>, term: number): void {
	for (const [controller, scopeTerm] of scopes) {
		if (scopeTerm < term) {
			controller.abort();
		}
	}
}
