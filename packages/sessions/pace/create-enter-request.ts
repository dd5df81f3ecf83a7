import type {Job} from '../job.ts';
import type {EnteringRequest} from './entering-request.ts';

type EnteringJob = Pick<Extract<Job, {readonly kind: EnteringRequest['kind']}>, 'kind' | 'workspace' | 'priority' | 'timeout' | 'targetLatency'>;

/**
 * Creates the request of a job to enter.
 *
 * @param now Current time of the steady clock in milliseconds.
 */
export function createEnterRequest({
	kind, workspace, priority, timeout, targetLatency,
}: EnteringJob, now: number): EnteringRequest {
	return {
		kind, workspace, priority, since: now, deadline: now + timeout, target: targetLatency === undefined ? undefined : now + targetLatency,
	};
}
