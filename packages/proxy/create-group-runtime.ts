import type {GroupView, InstanceReport} from '@sapphirefall/decisions';
import {
	createFailoverClient, createConnectionPool, openConnection, openProber, type FailoverClient, type Connection, type ConnectionPool, type Prober,
} from '@sapphirefall/endpoints';
import {createViewWaits} from './create-view-waits.ts';
import type {GroupRuntime} from './group-runtime.ts';

type Options = {
	/** Settings of connections to instances. Times are in milliseconds. */
	readonly settings: {
		/** Connections that this host keeps to each instance as its gateway. */
		readonly connections: number;
		/** Connections to an instance whose gateway this host cannot reach. */
		readonly directConnections: number;
		/** Idle time after which a pool is closed. */
		readonly idleSpan: number;
		readonly heartbeatInterval: number;
		/** Time without an answer after which a connection is closed. */
		readonly silenceLimit: number;
		readonly reconnectDelay: number;
		readonly commandTimeout: number;
	};
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
	/** Called when an instance answers a probe, with the time at which the probe was sent. */
	readonly onReport: (report: InstanceReport, sentAt: number) => void;
};

/** A pool and the monotonic time of its last use in milliseconds. */
type PoolEntry = {readonly pool: ConnectionPool; usedAt: number};

type InstanceClients = {
	readonly address: string;
	readonly prober: Prober;
	readonly failoverClient: FailoverClient;
	/** Pools by purpose; a pool is created on its first use and closed when idle. */
	readonly pools: Map<'gateway' | 'direct', PoolEntry>;
};

/**
 * Creates the runtime of one database group.
 *
 * @param initialView The group's view at the start.
 * @param options Settings of connections, the clock, and the callback for reports of instances.
 */
export function createGroupRuntime(initialView: GroupView, options: Options): GroupRuntime {
	const clients = new Map<string, InstanceClients>();
	const poolByConnection = new WeakMap<Connection, ConnectionPool>();
	const attempts = new Map<AbortController, number>();
	let view = initialView;
	let probedAt = -Infinity;

	const probe = () => {
		probedAt = options.now();
		for (const {prober} of clients.values()) {
			prober.probe();
		}
	};

	const waits = createViewWaits({
		readView: () => view, probe, findProbedAt: () => probedAt, now: options.now,
	});

	const connectInstances = () => {
		for (const {id, address} of view.group.instances) {
			const known = clients.get(id);
			if (known?.address !== address) {
				known?.prober.close();
				closePools(known);
				clients.set(id, {
					address,
					prober: openProber(address, {...options, timeoutMs: options.settings.silenceLimit}),
					failoverClient: createFailoverClient(address, options.settings.commandTimeout),
					pools: new Map(),
				});
			}
		}
	};

	const findPool = (instance: string, purpose: 'gateway' | 'direct'): ConnectionPool | undefined => {
		const client = clients.get(instance);
		if (client === undefined) {
			return undefined;
		}

		const known = client.pools.get(purpose);
		if (known !== undefined) {
			known.usedAt = options.now();
			return known.pool;
		}

		const pool = createConnectionPool({
			open: async onClosed => openConnection(client.address, {...options.settings, now: options.now, onClosed}),
			size: purpose === 'gateway' ? options.settings.connections : options.settings.directConnections,
			retryDelayMs: options.settings.reconnectDelay,
			now: options.now,
		});
		client.pools.set(purpose, {pool, usedAt: options.now()});
		return pool;
	};

	/** Closes the pools unused for longer than `idleSpan`, so that scarce connections are free for those that need them. */
	const closeIdlePools = () => {
		for (const {pools} of clients.values()) {
			for (const [purpose, {pool, usedAt}] of pools) {
				if (options.now() - usedAt > options.settings.idleSpan) {
					pool.close();
					pools.delete(purpose);
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
				abortOlderAttempts(attempts, next.term);
			}

			waits.update();
		},
		probe,
		async acquire(instance, request) {
			const pool = findPool(instance, request.isGateway ? 'gateway' : 'direct');
			const connection = await pool?.acquire(request);
			if (connection !== undefined && pool !== undefined) {
				poolByConnection.set(connection, pool);
			}

			return connection;
		},
		release(connection) {
			poolByConnection.get(connection)?.release(connection);
		},
		waitFor: waits.waitFor,
		openAttempt(term, deadline) {
			const controller = new AbortController();
			const timer = setTimeout(() => {
				controller.abort();
			}, Math.max(0, deadline - options.now()));
			attempts.set(controller, term);
			return {
				signal: controller.signal,
				close() {
					clearTimeout(timer);
					attempts.delete(controller);
				},
			};
		},
		findFailoverClient: instance => clients.get(instance)?.failoverClient,
		close() {
			waits.close();
			clearInterval(idleTimer);
			for (const client of clients.values()) {
				client.prober.close();
				closePools(client);
			}
		},
	};
}

function closePools(client: InstanceClients | undefined): void {
	for (const {pool} of client?.pools.values() ?? []) {
		pool.close();
	}
}

/** Aborts the attempts of terms before the given one. */
function abortOlderAttempts(attempts: ReadonlyMap<AbortController, number>, term: number): void {
	for (const [controller, attemptTerm] of attempts) {
		if (attemptTerm < term) {
			controller.abort();
		}
	}
}
