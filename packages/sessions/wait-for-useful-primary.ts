import type {PrimaryView} from './primary-view.ts';
import type {SessionGroup} from './session-group.ts';

/** Waits for the primary of a group only if it should be there within `limit` milliseconds. */
export async function waitForUsefulPrimary(group: SessionGroup, limit: number): Promise<PrimaryView> {
	const view = group.primary();
	return view.kind === 'leased' || view.retryAfter > limit ? view : group.waitForPrimary(limit);
}
