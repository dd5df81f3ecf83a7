import type {GroupView} from '@sapphirefall/decisions';
import type {FailoverClient, Connection} from '@sapphirefall/endpoints';
import type {AttemptScope} from './attempt-scope.ts';

/** The connections, probes and waiting requests of one database group on this host. */
export type GroupRuntime = {
	readonly database: string;
	readonly view: () => GroupView;
	/** Applies a changed view, aborts the attempts of earlier terms, and ends the waits that the view satisfies. */
	readonly update: (view: GroupView) => void;
	/** Sends a probe to every instance. */
	readonly probe: () => void;
	/** Takes a connection to an instance from its pool; undefined when none came free in time. */
	readonly acquire: (instance: string, request: {
		readonly workspace: string;
		readonly cost: number;
		/** Whether to use the gateway's pool instead of the small pool that any host may open. */
		readonly isGateway: boolean;
		readonly deadline: number;
		readonly signal: AbortSignal;
	}) => Promise<Connection | undefined>;
	/** Returns a connection to its pool. */
	readonly release: (connection: Connection) => void;
	/**
	 * Waits until `find` finds a value in the view, and returns the value; undefined after the deadline.
	 *
	 * While an urgent wait is open, probes are sent more often than at the usual interval.
	 */
	readonly waitFor: <Found>(
		find: (view: GroupView) => Found | undefined,
		options: {readonly deadline: number; readonly isUrgent: boolean},
	) => Promise<Found | undefined>;
	/** Starts an attempt that ends with the term or at the deadline. */
	readonly openAttempt: (term: number, deadline: number) => AttemptScope;
	readonly findFailoverClient: (instance: string) => FailoverClient | undefined;
	readonly close: () => void;
};
