import type {GroupView} from '@sapphirefall/decisions';
import type {FailoverClient, Connection} from '@sapphirefall/endpoints';
import type {Scope} from './scope.ts';

/** The connections, probes and waiting requests of one database group on this host. */
export type GroupRuntime = {
	readonly database: string;
	readonly view: () => GroupView;
	/** Takes in a changed view and wakes the requests that waited for it. */
	readonly update: (view: GroupView) => void;
	/** Sends a probe to every instance. */
	readonly probe: () => void;
	readonly take: (instance: string, demand: {
		readonly workspace: string;
		readonly cost: number;
		/** Whether to use the gateway's connections or the few that any host may open. */
		readonly isGateway: boolean;
		readonly deadline: number;
		readonly signal: AbortSignal;
	}) => Promise<Connection | undefined>;
	readonly give: (connection: Connection) => void;
	/**
	 * Waits until the view holds what is looked for; undefined after the deadline.
	 *
	 * While an urgent wait is open, probes are sent without pause.
	 */
	readonly waitFor: <Found>(
		find: (view: GroupView) => Found | undefined,
		options: {readonly deadline: number; readonly isUrgent: boolean},
	) => Promise<Found | undefined>;
	readonly openScope: (term: number, deadline: number) => Scope;
	readonly findCommander: (instance: string) => FailoverClient | undefined;
	readonly close: () => void;
};
