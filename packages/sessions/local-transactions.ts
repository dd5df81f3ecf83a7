import type {PooledConnection} from './pools/pooled-connection.ts';

/** The transactions that are open on this host's own connections to an instance, by their numbers. */
export type LocalTransactions = {
	/** Adds a transaction that has begun on a connection and may be idle for `idleLimit` milliseconds; returns its number. */
	readonly add: (pooled: PooledConnection, idleLimit: number) => number;
	/** Returns the connection of a transaction that is being used, which is not idle until `release`; undefined if it is not open. */
	readonly use: (transaction: number) => PooledConnection | undefined;
	/** Lets the idle time of a transaction begin anew. */
	readonly release: (transaction: number) => void;
	/** Ends the bookkeeping of a transaction and returns its connection, which the caller must release; undefined if it is not open. */
	readonly take: (transaction: number) => PooledConnection | undefined;
	/** Lists the transactions that are not being used. */
	readonly listIdle: () => readonly number[];
	/** Lists the transactions that are idle and whose connections are closed. */
	readonly listLost: () => readonly number[];
	readonly isOpen: (transaction: number) => boolean;
};
