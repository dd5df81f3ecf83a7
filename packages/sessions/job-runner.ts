import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';

/** Runs jobs on an instance. Checks `maySend` just before it sends a statement of a caller, and sends nothing if false. */
export type JobRunner = (job: Job, maySend: () => boolean) => Promise<JobAnswer>;
