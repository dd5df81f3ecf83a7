import type {LoadClass} from './load-class.ts';

/** One request of a schedule. */
export type ScheduledRequest = {
	readonly id: string;
	/** Milliseconds from the start of the load. */
	readonly scheduledAt: number;
	readonly workspace: string;
	/** Number of the session within the workspace. */
	readonly session: number;
	readonly class: LoadClass;
	/** Place of the host in the plan's targets. */
	readonly targetIndex: number;
};
