import type {InstanceAnswer} from './instance-answer.ts';
import type {JobSpans} from './job-spans.ts';

/** The answer to a job. */
export type JobAnswer =
	| InstanceAnswer & {
		/** Number of the transaction that the job began; only valid on the host that ran the job. */
		readonly transaction?: number | undefined;
		/** Durations of the job's phases. */
		readonly spans?: JobSpans | undefined;
	}
	/** Nothing of the job was sent to the instance, and nothing will be. */
	| {
		readonly kind: 'notSent';
		readonly reason: string;
		/** Whether the host that tried to run the job cannot reach the instance. */
		readonly isUnreachable?: boolean;
		/** Milliseconds after which the host expects to have room for the job, if it knows. */
		readonly retryAfterMs?: number;
	};
