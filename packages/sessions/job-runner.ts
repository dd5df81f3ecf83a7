import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';

/** Runs jobs on an instance; `maySend` is asked just before anything is sent that a caller asked for. */
export type JobRunner = (job: Job, maySend: () => boolean) => Promise<JobAnswer>;
