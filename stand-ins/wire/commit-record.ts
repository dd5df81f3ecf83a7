import type {LogEntry} from './log-entry.ts';

/** A commit of a simulated group, and what became of it. */
export type CommitRecord = {
	readonly group: string;
	/** Instance that committed it. */
	readonly instance: string;
	readonly entry: LogEntry;
	/** When it took effect, in milliseconds of the steady clock. */
	readonly at: number;
	/** Whether a promotion to a later term had taken effect before. */
	readonly isBehindPromotion: boolean;
	/** Whether an instance was promoted later that had not received it. */
	readonly isRolledBack: boolean;
};
