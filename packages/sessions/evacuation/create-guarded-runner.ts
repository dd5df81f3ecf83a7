import type {JobAnswer} from '../job-answer.ts';
import type {JobRunner} from '../job-runner.ts';
import type {Job} from '../job.ts';

/** The answer to a job for an instance of an evacuated zone. */
const evacuatedAnswer: JobAnswer = {kind: 'notSent', reason: 'the zone of the instance is evacuated'};

/**
 * Creates a runner of jobs that sends none which `mayRun` does not allow, checked before the job takes a connection and again
 * when it is sent, since it may have waited.
 */
export function createGuardedRunner(runner: JobRunner, mayRun: (kind: Job['kind']) => boolean): JobRunner {
	return async (job, maySend) => mayRun(job.kind) ? runner(job, () => maySend() && mayRun(job.kind)) : evacuatedAnswer;
}
