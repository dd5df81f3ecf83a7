import type {PrimaryView} from '../primary-view.ts';
import type {ZonePhase} from './zone-phase.ts';

type Options = {
	/** Phase of the primary's zone. */
	readonly phase: ZonePhase;
	/** Whether another instance may become the primary; see `hasSuccessorElsewhere`. */
	readonly hasSuccessor: boolean;
};

/** Usual milliseconds until a planned failover has ended. */
const usualFailoverMs = 2500;

/** Milliseconds after which to try again what only evacuated zones can run. */
const evacuatedRetryMs = 2000;

/**
 * Finds whether a statement or transaction may begin at the primary, by the evacuation of its zone.
 *
 * The primary is used until it is replaced, but not after the limit. One that nothing can replace is not used at all.
 */
export function findPrimaryForNewWork(view: PrimaryView, {phase, hasSuccessor}: Options): PrimaryView {
	if (view.kind === 'unavailable' || phase === 'open') {
		return view;
	}

	if (!hasSuccessor) {
		return {kind: 'unavailable', reason: 'evacuated', retryAfter: evacuatedRetryMs};
	}

	return phase === 'leaving' ? view : {kind: 'unavailable', reason: 'evacuating', retryAfter: usualFailoverMs};
}
