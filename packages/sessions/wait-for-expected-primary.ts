import type {Operation} from './operation.ts';
import type {PrimaryView} from './primary-view.ts';

type Waiting = Pick<Operation, 'group' | 'context' | 'trace' | 'findAllowedRegions' | 'mayReachZone'>;

/** Milliseconds after which callers may try again whose operation the group's primary may not run. */
const restrictedRetryMs = 1000;

/**
 * Waits for the primary of an operation's group, but only if it is expected within `limit` milliseconds; otherwise returns
 * at once. A primary outside of the allowed regions is not available to the operation.
 */
export async function waitForExpectedPrimary(operation: Waiting, limit: number): Promise<PrimaryView> {
	const {group} = operation;
	if (operation.findAllowedRegions() === undefined) {
		return waitForPrimary(operation, limit);
	}

	const zones = group.listInstances().map(instance => instance.listed().zone);
	if (zones.length > 0 && !zones.some(zone => operation.mayReachZone(zone))) {
		return refuse(operation);
	}

	const view = await waitForPrimary(operation, limit);
	const zone = view.kind === 'leased' ? group.findInstance(view.instance)?.listed().zone : undefined;
	return zone === undefined || operation.mayReachZone(zone) ? view : refuse(operation);
}

async function waitForPrimary({group, context, trace}: Waiting, limit: number): Promise<PrimaryView> {
	const view = group.primary({isForNewWork: true});
	// No failover is expected where only evacuated zones have instances.
	if (view.kind === 'leased' || view.reason === 'evacuated' || view.retryAfter > limit) {
		return view;
	}

	const startedAt = context.now().steady;
	const later = await group.waitForPrimary(limit);
	trace.addSpan('primary', context.now().steady - startedAt);
	return later;
}

function refuse({context, trace}: Waiting): PrimaryView {
	context.onRegionRefused();
	trace.addStep('no primary in an allowed region');
	return {kind: 'unavailable', reason: 'restricted', retryAfter: restrictedRetryMs};
}
