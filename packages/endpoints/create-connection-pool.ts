import {
	addItem, createFairQueue, dropItems, takeItem,
} from '@sapphirefall/decisions';
import type {Connection} from './connection.ts';
import type {ConnectionPool} from './connection-pool.ts';

type Options = {
	/** Opens a connection. Must call `onClosed` when the connection closes, also when opening it fails. */
	readonly open: (onClosed: () => void) => Promise<Connection>;
	/** Number of connections to keep open. */
	readonly size: number;
	/** Milliseconds to wait before a closed connection is replaced or a failed attempt is repeated. */
	readonly retryDelayMs: number;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
};

/** A request that waits for a connection. */
type Waiter = {
	readonly cost: number;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	readonly resolve: (connection: Connection | undefined) => void;
};

/**
 * Creates a pool that keeps a fixed number of connections open, so that no request waits for one to open.
 *
 * Requests that find no idle connection wait in a queue that is fair between workspaces.
 */
export function createConnectionPool(options: Options): ConnectionPool {
	const idle: Connection[] = [];
	const timers = new Set<NodeJS.Timeout>();
	let queue = createFairQueue<Waiter>();
	let openCount = 0;
	let isClosed = false;

	const schedule = (milliseconds: number, task: () => void) => {
		const timer = setTimeout(() => {
			timers.delete(timer);
			task();
		}, milliseconds);
		timers.add(timer);
	};

	const assignConnection = (connection: Connection) => {
		const now = options.now();
		queue = dropItems(queue, item => item.deadline <= now);
		const next = takeItem(queue, item => item.cost);
		queue = next.queue;
		if (next.item === undefined) {
			idle.push(connection);
		} else {
			next.item.resolve(connection);
		}
	};

	const openNext = async (): Promise<void> => {
		if (isClosed) {
			return;
		}

		try {
			const connection = await options.open(() => {
				openCount--;
				const index = idle.findIndex(candidate => candidate.isClosed());
				if (index !== -1) {
					idle.splice(index, 1);
				}

				schedule(options.retryDelayMs, () => {
					void openNext();
				});
			});
			openCount++;
			if (isClosed) {
				connection.close();
			} else {
				assignConnection(connection);
			}
		} catch {
			// `onClosed` has scheduled the next attempt and decremented the count for a connection that never opened.
			openCount++;
		}
	};

	for (let count = 0; count < options.size; count++) {
		void openNext();
	}

	return {
		async acquire({workspace, cost, deadline, signal}) {
			const connection = idle.pop();
			if (connection !== undefined || isClosed || signal.aborted) {
				return connection;
			}

			return new Promise(resolve => {
				const finish = (acquired: Connection | undefined) => {
					clearTimeout(timer);
					signal.removeEventListener('abort', cancel);
					resolve(acquired);
				};

				const item: Waiter = {cost, deadline, resolve: finish};
				const cancel = () => {
					queue = dropItems(queue, candidate => candidate === item);
					finish(undefined);
				};

				const timer = setTimeout(cancel, Math.max(0, deadline - options.now()));
				signal.addEventListener('abort', cancel, {once: true});
				queue = addItem(queue, {workspace, item});
			});
		},
		release(connection) {
			if (isClosed) {
				connection.close();
			} else if (!connection.isClosed()) {
				assignConnection(connection);
			}
		},
		close() {
			isClosed = true;
			for (const timer of timers) {
				clearTimeout(timer);
			}

			for (const connection of idle.splice(0)) {
				connection.close();
			}
		},
		countOpen: () => openCount,
		countWaiting: () => [...queue.waiting.values()].reduce((sum, items) => sum + items.length, 0),
	};
}
