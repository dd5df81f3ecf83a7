import type {InstanceAnswer} from './instance-answer.ts';
import type {JobSpans} from './job-spans.ts';

/** The answer to a job. */
export type JobAnswer =
	| InstanceAnswer & {
		/** Number of the transaction that has begun. */
		readonly transaction?: number | undefined;
		readonly spans?: JobSpans | undefined;
	}
	/** Nothing of the job was sent to the instance, and nothing will be. */
	| {
		readonly kind: 'notSent';
		readonly reason: string;
		/** Whether the instance cannot be reached from where the job was tried. */
		readonly isUnreachable?: boolean;
	};
