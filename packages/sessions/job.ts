import type {LogPoint} from '@sapphirefall/decisions';
import type {Caller} from './caller.ts';
import type {AllowedRegions} from './regions/allowed-regions.ts';
import type {SessionSetup} from './session-setup.ts';
import type {Query} from './query.ts';

/** On whose behalf a job runs, and within what time. */
type JobBase = {
	readonly workspace: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly caller: Caller;
	/** Milliseconds within which the job must finish. */
	readonly timeout: number;
	/** Regions of the hosts that may receive the job, beside this host; a gateway does not learn them and relies on its own configuration. */
	readonly allowedRegions?: AllowedRegions;
	/** Milliseconds within which the job should finish, 0 or less if it is late; undefined from a host of an earlier version. */
	readonly targetLatency?: number | undefined;
};

/**
 * Work of a session for an instance, with everything that a host needs to run it on one of its own connections.
 *
 * An instance whose log does not hold the position `after` does not run the job. `transaction` is the number in the
 * answer to the job that began the transaction.
 */
export type Job =
	| JobBase & {readonly kind: 'single'; readonly setup: SessionSetup; readonly query: Query; readonly after: LogPoint | undefined}
	| JobBase & {
		readonly kind: 'begin';
		readonly setup: SessionSetup;
		readonly isReadOnly: boolean;
		readonly after: LogPoint | undefined;
		/** Milliseconds for which the transaction may be idle. */
		readonly idleLimit: number;
	}
	| JobBase & {readonly kind: 'within'; readonly transaction: number; readonly setup: SessionSetup; readonly query: Query}
	| JobBase & {
		readonly kind: 'commit';
		readonly transaction: number;
		readonly id: string;
		readonly text: string;
		/** Values that the session has set since the last statement of the transaction, and all others; absent if it has set none. */
		readonly setup?: SessionSetup;
	}
	| {readonly kind: 'rollback'; readonly transaction: number}
	/** Queries the end of the instance's log, without using an execution slot. */
	| {readonly kind: 'position'; readonly workspace: string};
