import type {LogPoint} from '@sapphirefall/decisions';
import type {Caller} from './caller.ts';
import type {SessionSetup} from './session-setup.ts';
import type {Query} from './query.ts';

/** On whose behalf a job runs, and for how long. */
type JobBase = {
	readonly workspace: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly caller: Caller;
	/** Milliseconds within which the job must be done. */
	readonly timeout: number;
};

/**
 * Work of a session for an instance, with all that a host needs to run it on a connection of its own.
 *
 * `after` is a position that the instance's log must hold, or the job does not run. `transaction` is the number that
 * the beginning of the transaction was answered with.
 */
export type Job =
	| JobBase & {readonly kind: 'single'; readonly setup: SessionSetup; readonly query: Query; readonly after: LogPoint | undefined}
	| JobBase & {
		readonly kind: 'begin';
		readonly setup: SessionSetup;
		readonly isReadOnly: boolean;
		readonly after: LogPoint | undefined;
		/** Milliseconds for which the transaction may stand idle. */
		readonly idleLimit: number;
	}
	| JobBase & {readonly kind: 'within'; readonly transaction: number; readonly setup: SessionSetup; readonly query: Query}
	| JobBase & {readonly kind: 'commit'; readonly transaction: number; readonly id: string; readonly text: string}
	| {readonly kind: 'rollback'; readonly transaction: number}
	/** Asks for the end of the instance's log, without taking a slot. */
	| {readonly kind: 'position'; readonly workspace: string};
