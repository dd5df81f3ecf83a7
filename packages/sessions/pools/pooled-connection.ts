import type {InstanceConnection} from '../instance-connection.ts';

/** A connection of a pool, with the session state that its last user left on it. */
export type PooledConnection = {
	readonly connection: InstanceConnection;
	readonly workspace: string;
	/** Session variables that are set on the connection, by name; marks of both (`findMark`). */
	readonly variables: Map<string, string>;
	/** Names of the statements that are prepared on the connection, by the mark of access and shape (`access shape`). */
	readonly prepared: Map<string, string>;
	/** Whether the connection is taken from the pool. */
	isBusy: boolean;
	/** When the connection was last released, in milliseconds of the steady clock. */
	idleSince: number;
};
