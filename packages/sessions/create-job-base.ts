import type {Job} from './job.ts';
import type {Operation} from './operation.ts';

type JobBase = Pick<Extract<Job, {readonly kind: 'single'}>, 'workspace' | 'priority' | 'caller' | 'timeout' | 'targetLatency'>;

/** Creates the properties that all jobs of an operation share: workspace, caller, priority and remaining times. */
export function createJobBase({
	context, route, workspace, caller, arrivedAt, deadline,
}: Operation): JobBase {
	const now = context.now().steady;
	return {
		workspace, priority: route.priority, caller, timeout: Math.max(1, deadline - now), targetLatency: arrivedAt.steady + route.targetLatency - now,
	};
}
