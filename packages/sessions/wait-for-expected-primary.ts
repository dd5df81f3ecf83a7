import type {Operation} from './operation.ts';
import type {PrimaryView} from './primary-view.ts';

/** Waits for the primary of an operation's group, but only if it is expected within `limit` milliseconds; otherwise returns at once. */
export async function waitForExpectedPrimary({group, context, trace}: Pick<Operation, 'group' | 'context' | 'trace'>, limit: number): Promise<PrimaryView> {
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
