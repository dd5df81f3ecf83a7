import type {Job} from './job.ts';
import type {Operation} from './operation.ts';

/** Creates what the jobs of an operation have in common: on whose behalf they run, and how long they may take. */
export function createJobBase({context, route, workspace, caller, deadline}: Operation): Pick<Extract<Job, {readonly kind: 'single'}>, 'workspace' | 'priority' | 'caller' | 'timeout'> {
	return {
		workspace, priority: route.priority, caller, timeout: Math.max(1, deadline - context.now().steady),
	};
}
