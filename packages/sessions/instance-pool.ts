import type {AcquireOutcome} from './acquire-outcome.ts';
import type {PooledConnection} from './pooled-connection.ts';

/** Who wants a connection, and for how long it may wait. */
type Wish = {
	readonly workspace: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Milliseconds. */
	readonly timeout: number;
};

/** The connections of this host to one instance. */
export type InstancePool = {
	readonly acquire: (wish: Wish) => Promise<AcquireOutcome>;
	/** Gives a connection back; one that is not clean is closed. */
	readonly release: (link: PooledConnection, isClean: boolean) => void;
	/** Takes an idle connection without waiting; undefined when there is none. */
	readonly takeIdle: () => PooledConnection | undefined;
	readonly readLoad: () => {readonly busy: number; readonly idle: number; readonly waiting: number; readonly limit: number};
	/** Closes connections that have been idle since before a moment, in steady milliseconds. */
	readonly closeIdle: (before: number) => void;
	readonly setLimit: (limit: number) => void;
	/** Closes idle connections now and others when they are given back. */
	readonly close: () => void;
};
