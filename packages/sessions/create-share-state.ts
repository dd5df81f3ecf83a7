import type {Instant} from './instant.ts';
import type {ShareState} from './share-state.ts';

/** Creates an empty share. A host that restarts begins without tokens, so that it does not grant operations twice. */
export function createShareState(now: Instant): ShareState {
	return {
		rate: 0, requestedAt: now, spanMs: 0, tokens: 0, refilledAt: now.steady, demand: 0, demandAt: now.steady,
	};
}
