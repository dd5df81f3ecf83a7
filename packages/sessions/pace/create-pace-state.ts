import type {PaceState} from './pace-state.ts';

/** Creates the pace of an instance that has just started: the slow start begins with a single statement. */
export function createPaceState(): PaceState {
	return {
		limit: 1,
		phase: 'slowStart',
		target: Number.POSITIVE_INFINITY,
		calmLatency: undefined,
		recentLatency: undefined,
		round: {
			answers: 0, measured: 0, totalLatency: 0, peak: 0,
		},
		failures: 0,
		refusals: 0,
		fellAt: Number.NEGATIVE_INFINITY,
	};
}
