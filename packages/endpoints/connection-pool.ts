import type {Connection} from './connection.ts';

/** A pool of connections to one instance, shared fairly between workspaces. */
export type ConnectionPool = {
	/**
	 * Acquires a connection for one transaction.
	 *
	 * Resolves to `undefined` when no connection becomes free before the deadline, or when the signal is aborted.
	 */
	readonly acquire: (request: {
		readonly workspace: string;
		/** Cost of the request, which counts against its workspace's fair share of the pool. */
		readonly cost: number;
		/** Monotonic milliseconds. */
		readonly deadline: number;
		readonly signal: AbortSignal;
	}) => Promise<Connection | undefined>;
	/** Returns a connection to the pool. The pool replaces a closed one. */
	readonly release: (connection: Connection) => void;
	readonly close: () => void;
	/** Returns the number of open connections, idle or in use. */
	readonly countOpen: () => number;
	/** Returns the number of requests that wait for a connection. */
	readonly countWaiting: () => number;
};
