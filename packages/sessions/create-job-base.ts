import type {Job} from './job.ts';
import type {Operation} from './operation.ts';

type JobBase = Pick<Extract<Job, {readonly kind: 'single'}>, 'workspace' | 'priority' | 'caller' | 'timeout' | 'targetLatency' | 'allowedRegions'>;

/** Creates the properties that all jobs of an operation share: workspace, caller, priority, remaining times and allowed regions. */
export function createJobBase({
	context, route, workspace, caller, arrivedAt, deadline, findAllowedRegions,
}: Operation): JobBase {
	const now = context.now().steady;
	return {
		workspace,
		priority: route.priority,
		caller,
		timeout: Math.max(1, deadline - now),
		targetLatency: arrivedAt.steady + route.targetLatency - now,
		allowedRegions: findAllowedRegions(),
	};
}
