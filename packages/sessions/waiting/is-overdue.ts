import type {ServicePace} from './service-pace.ts';

type Options = {
	readonly pace: ServicePace;
	/** Number of requests that are served before it. */
	readonly ahead: number;
	/** Milliseconds until its deadline. */
	readonly remainingMs: number;
};

/** Ratio of the predicted time to the remaining time above which the prediction counts as certain. */
const certainRatio = 1.25;

/**
 * Whether a request would certainly be served after its deadline.
 *
 * Never while no more requests are ahead than are served at a time, and never if the pace was not measured.
 */
export function isOverdue({pace: {serviceMs, leastServiceMs = 0, limit}, ahead, remainingMs}: Options): boolean {
	if (serviceMs === undefined || limit === undefined || ahead < limit) {
		return false;
	}

	const waitMs = (ahead + 1) * serviceMs / Math.max(1, limit);
	return waitMs + leastServiceMs > remainingMs * certainRatio;
}
