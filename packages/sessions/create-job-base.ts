import type {Job} from './job.ts';
import type {Operation} from './operation.ts';

type JobBase = Pick<Extract<Job, {readonly kind: 'single'}>, 'workspace' | 'priority' | 'caller' | 'timeout' | 'allowedRegions'>;

/** Creates the properties that all jobs of an operation share: workspace, caller, priority, remaining time and allowed regions. */
export function createJobBase({context, route, workspace, caller, deadline, findAllowedRegions}: Operation): JobBase {
	return {
		workspace, priority: route.priority, caller, timeout: Math.max(1, deadline - context.now().steady), allowedRegions: findAllowedRegions(),
	};
}
