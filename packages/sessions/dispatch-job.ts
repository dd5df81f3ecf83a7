import type {JobAnswer} from './job-answer.ts';
import type {JobRunner} from './job-runner.ts';
import type {Job} from './job.ts';

/** Runs a job wherever it can be run, and says what runs the jobs of the transaction that it began. */
export type DispatchJob = (job: Job, maySend: () => boolean) => Promise<{readonly answer: JobAnswer; readonly runner: JobRunner}>;
