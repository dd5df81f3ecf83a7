import type {InstanceConnection} from './instance-connection.ts';

/** A connection of a pool, and what it holds of the session that used it last. */
export type PooledConnection = {
	readonly connection: InstanceConnection;
	readonly workspace: string;
	/** Values that were set on the connection, by name. */
	readonly values: Map<string, string>;
	/** Names of prepared statements on the connection, by access and shape. */
	readonly prepared: Map<string, string>;
	/** Whether a session uses it now. */
	isBusy: boolean;
	/** Steady milliseconds when it was last given back. */
	idleSince: number;
};
