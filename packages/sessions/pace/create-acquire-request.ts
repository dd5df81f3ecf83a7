import type {AcquireRequest} from '../pools/acquire-request.ts';
import type {EnteringRequest} from './entering-request.ts';

/**
 * Creates the request of a job that has entered for a connection, within the time that is left.
 *
 * @param now Current time of the steady clock in milliseconds.
 */
export function createAcquireRequest({
	workspace, priority, deadline, target,
}: EnteringRequest, now: number): AcquireRequest {
	return {
		workspace, priority, timeout: deadline - now, targetLatency: target === undefined ? undefined : target - now,
	};
}
