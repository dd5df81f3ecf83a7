import type {Job} from './job.ts';
import type {Operation} from './operation.ts';

/** Creates the properties that all jobs of an operation share: workspace, caller, priority and remaining time. */
export function createJobBase({context, route, workspace, caller, deadline}: Operation): Pick<Extract<Job, {readonly kind: 'single'}>, 'workspace' | 'priority' | 'caller' | 'timeout'> {
	return {
		workspace, priority: route.priority, caller, timeout: Math.max(1, deadline - context.now().steady),
	};
}
