import type {LoadClass} from './load-class.ts';

/** A request of a schedule. */
export type ScheduledRequest = {
	readonly id: string;
	/** Milliseconds from the start of the load. */
	readonly scheduledAt: number;
	readonly workspace: string;
	/** Number of the session within the workspace. */
	readonly session: number;
	readonly class: LoadClass;
	/** Index of the host in the targets of the plan. */
	readonly targetIndex: number;
};
