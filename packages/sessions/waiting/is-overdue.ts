import {findWait} from './find-wait.ts';

type Options = Parameters<typeof findWait>[0] & {
	/** Milliseconds until the deadline of the request. */
	readonly remainingMs: number;
};

/** Ratio of the predicted time to the remaining time above which the prediction counts as certain. */
const certainRatio = 1.25;

/**
 * Whether a request would certainly be served after its deadline.
 *
 * Never while fewer requests are ahead than are served at a time, and never if the pace was not measured.
 */
export function isOverdue({remainingMs, ...options}: Options): boolean {
	const {pace: {leastServiceMs = 0, limit = 1}, ahead} = options;
	const waitMs = findWait(options);
	return waitMs !== undefined && ahead.count >= limit && waitMs + leastServiceMs > remainingMs * certainRatio;
}
