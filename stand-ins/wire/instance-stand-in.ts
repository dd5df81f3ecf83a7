import type {InstanceLog} from './instance-log.ts';
import type {LogEntry} from './log-entry.ts';

/** A simulated instance of a group that implements the wire protocol in memory. */
export type InstanceStandIn = Pick<InstanceLog, 'role' | 'term' | 'receive' | 'promote' | 'stepDown' | 'setLag'> & {
	readonly id: string;
	readonly port: number;
	/** Returns the commits that the instance has received, oldest first. */
	readonly log: () => readonly LogEntry[];
	/** Returns the statements of clients that ran, each with the identifier that it carried, the variables of its connection, and when it came, in milliseconds of the steady clock. */
	readonly executedStatements: () => ReadonlyArray<{readonly id: string; readonly text: string; readonly variables: ReadonlyMap<string, string>; readonly at: number}>;
	/** Returns the workspace that each connection named when it started a session. */
	readonly sessionWorkspaces: () => readonly string[];
	/** Ignores all further bytes on all connections, without closing them. */
	readonly stopAnswering: () => void;
	/** Answers what arrives from now on, after it has stopped answering. */
	readonly answerAgain: () => void;
	/** Stands still, or goes on: what has arrived meanwhile is run then, also if its sender has given it up. */
	readonly setFrozen: (isFrozen: boolean) => void;
	/** Whether the instance refuses requests for its status, as when all its slots are taken. */
	readonly setStatusRefused: (isRefused: boolean) => void;
	/** Closes all connections and accepts no new ones. */
	readonly crash: () => void;
	/** Comes back from a crash with its log, as a replica unless it led this term, which is the newest one. */
	readonly comeBack: (newestTerm: number) => void;
	/** Comes back under its id from a crash that took its log and all that it knew, as a replica. */
	readonly comeBackEmpty: () => void;
	readonly isCrashed: () => boolean;
	/** Whether the instance neither answers nor replicates: it has crashed, stands still or stopped answering. */
	readonly isDown: () => boolean;
	/** Runs the next statements of clients, and closes the connection of each instead of answering. */
	readonly loseAnswers: (count: number) => void;
	readonly close: () => void;
};
