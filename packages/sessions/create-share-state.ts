import type {Instant} from './instant.ts';
import type {ShareState} from './share-state.ts';

/** Creates an empty share, so that a host that restarts grants nothing twice. */
export function createShareState(now: Instant): ShareState {
	return {
		rate: 0, requestedAt: now, spanMs: 0, tokens: 0, refilledAt: now.steady, demand: 0, demandAt: now.steady,
	};
}
