import {
	addItem, createFairQueue, dropItems, takeItem,
} from '@sapphirefall/decisions';
import type {Connection} from './connection.ts';
import type {ConnectionPool} from './connection-pool.ts';

type Options = {
	/** Opens a connection; the callback is to be called when it closes. */
	readonly open: (onClosed: () => void) => Promise<Connection>;
	/** Connections to keep open. */
	readonly size: number;
	/** Milliseconds until the next attempt after a connection could not be opened. */
	readonly retryDelay: number;
	readonly now: () => number;
};

type Waiting = {
	readonly cost: number;
	readonly deadline: number;
	readonly resolve: (connection: Connection | undefined) => void;
};

/**
 * Creates a pool that keeps a fixed number of connections open, so that no request waits for one to open.
 *
 * Requests that find no free connection wait in a fair queue between workspaces.
 */
export function createConnectionPool(options: Options): ConnectionPool {
	const idle: Connection[] = [];
	const timers = new Set<NodeJS.Timeout>();
	let queue = createFairQueue<Waiting>();
	let open = 0;
	let isClosed = false;

	const wait = (milliseconds: number, task: () => void) => {
		const timer = setTimeout(() => {
			timers.delete(timer);
			task();
		}, milliseconds);
		timers.add(timer);
	};

	const offer = (connection: Connection) => {
		const now = options.now();
		queue = dropItems(queue, item => item.deadline <= now);
		const taken = takeItem(queue, item => item.cost);
		queue = taken.queue;
		if (taken.item === undefined) {
			idle.push(connection);
		} else {
			taken.item.resolve(connection);
		}
	};

	const openOne = async (): Promise<void> => {
		if (isClosed) {
			return;
		}

		try {
			const connection = await options.open(() => {
				open--;
				const place = idle.findIndex(candidate => candidate.isClosed());
				if (place !== -1) {
					idle.splice(place, 1);
				}

				wait(options.retryDelay, () => {
					void openOne();
				});
			});
			open++;
			if (isClosed) {
				connection.close();
			} else {
				offer(connection);
			}
		} catch {
			// The callback has scheduled the next attempt; it counted a connection that never was.
			open++;
		}
	};

	for (let count = 0; count < options.size; count++) {
		void openOne();
	}

	return {
		async acquire({workspace, cost, deadline, signal}) {
			const ready = idle.pop();
			if (ready !== undefined || isClosed || signal.aborted) {
				return ready;
			}

			return new Promise(resolve => {
				const end = (connection: Connection | undefined) => {
					clearTimeout(timer);
					signal.removeEventListener('abort', cancel);
					resolve(connection);
				};

				const item: Waiting = {cost, deadline, resolve: end};
				const cancel = () => {
					queue = dropItems(queue, candidate => candidate === item);
					end(undefined);
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
				offer(connection);
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
		countOpen: () => open,
		countWaiting: () => [...queue.waiting.values()].reduce((sum, items) => sum + items.length, 0),
	};
}
