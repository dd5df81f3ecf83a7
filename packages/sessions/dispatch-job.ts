import type {JobAnswer} from './job-answer.ts';
import type {JobRunner} from './job-runner.ts';
import type {Job} from './job.ts';

/**
 * Runs a job on a connection of this host or through a gateway.
 *
 * `runner` runs the further jobs of a transaction that the job began. `maySend` is called immediately before anything is
 * sent on behalf of a caller.
 */
export type DispatchJob = (job: Job, maySend: () => boolean) => Promise<{readonly answer: JobAnswer; readonly runner: JobRunner}>;
