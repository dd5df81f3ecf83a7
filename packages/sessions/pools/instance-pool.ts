import type {AcquireOutcome} from './acquire-outcome.ts';
import type {AcquireRequest} from './acquire-request.ts';
import type {PooledConnection} from './pooled-connection.ts';

/** The pool of this host's connections to one instance. */
export type InstancePool = {
	readonly acquire: (request: AcquireRequest) => Promise<AcquireOutcome>;
	/** Returns a connection to the pool. One that is not clean, that is, that another session must not use, is closed. */
	readonly release: (connection: PooledConnection, isClean: boolean) => void;
	/** Takes an idle connection of any workspace without waiting; returns undefined if there is none. */
	readonly takeIdle: () => PooledConnection | undefined;
	/** Counts the connections and the waiting requests. */
	readonly readLoad: () => {readonly busy: number; readonly idle: number; readonly waiting: number; readonly limit: number};
	/** Lists the workspaces that have an idle connection. */
	readonly listIdleWorkspaces: () => ReadonlySet<string>;
	/** Closes connections that have been idle since before a time in milliseconds of the steady clock. */
	readonly closeIdle: (before: number) => void;
	/** Returns the number of connections that are allowed now; lower than the limit after the instance refused one. */
	readonly findLimit: () => number;
	readonly setLimit: (limit: number) => void;
	/** Closes idle connections now, and the others when they are released. */
	readonly close: () => void;
};
