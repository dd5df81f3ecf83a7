import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import type {ListedInstance} from './listed-instance.ts';

/** The hosts through which this one reaches instances. */
export type Gateways = {
	/** Hosts through which work of a workspace may reach an instance, best first. */
	readonly list: (instance: ListedInstance, workspace: string | undefined) => readonly string[];
	/** Name of this host. */
	readonly self: string;
	/** Whether a host is not to be tried for an instance now, because it gave no answer or could not reach that. */
	readonly isAvoided: (host: string, instance: ListedInstance) => boolean;
	/** Whether a host answers; asks it if it has not been heard of lately, for longer where work may run again elsewhere. */
	readonly isAnswering: (host: string, work: {readonly isRepeatable: boolean}) => Promise<boolean>;
	/** Has a host run a job; undefined when no answer came. */
	readonly runJob: (host: string, instance: ListedInstance, job: Job) => Promise<JobAnswer | 'notServed' | undefined>;
};
