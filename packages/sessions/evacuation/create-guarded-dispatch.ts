import type {DispatchJob} from '../dispatch-job.ts';
import type {Job} from '../job.ts';
import {createGuardedRunner} from './create-guarded-runner.ts';

/**
 * Creates a dispatcher of jobs that hands none to a gateway which `mayRun` does not allow, nor further jobs of a transaction.
 * The gateway checks this as well; it may have learned of the evacuation earlier or later than this host.
 */
export function createGuardedDispatch(dispatch: DispatchJob, mayRun: (kind: Job['kind']) => boolean): DispatchJob {
	return async (job, maySend) => {
		const {answer, runner} = await dispatch(job, () => maySend() && mayRun(job.kind));
		return {answer, runner: createGuardedRunner(runner, mayRun)};
	};
}
