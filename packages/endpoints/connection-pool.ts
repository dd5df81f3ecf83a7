import type {Connection} from './connection.ts';

/** Connections to one instance, shared fairly between workspaces. */
export type ConnectionPool = {
	/**
	 * Takes a connection for one transaction.
	 *
	 * Resolves to undefined when none came free before the deadline or the signal was aborted.
	 */
	readonly acquire: (demand: {
		readonly workspace: string;
		readonly cost: number;
		/** Monotonic milliseconds. */
		readonly deadline: number;
		readonly signal: AbortSignal;
	}) => Promise<Connection | undefined>;
	/** Gives a connection back; one that is closed is replaced. */
	readonly release: (connection: Connection) => void;
	readonly close: () => void;
	readonly countOpen: () => number;
	readonly countWaiting: () => number;
};
