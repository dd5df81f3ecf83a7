import type {ServicePace} from './service-pace.ts';
import type {WorkAhead} from './work-ahead.ts';

type Options = {
	readonly pace: ServicePace;
	readonly ahead: WorkAhead;
	/** Milliseconds until its deadline. */
	readonly remainingMs: number;
	/** Milliseconds until the room is given to those that were refused before. */
	readonly reservedMs: number;
};

/** Bounds of the milliseconds after which a refused caller is asked to retry; later than that the pace is not foreseen. */
const retryDelayMs = {min: 20, max: 5000};

/** Part of a request's time that it may have to wait when it comes back. */
const waitFraction = 0.5;

/**
 * Finds the milliseconds after which there is room for a request that cannot be served now: the requests ahead of it
 * then take half of its time, and those refused before it have come back.
 *
 * Undefined if the pace was not measured.
 */
export function findRetryDelay({
	pace: {serviceMs, limit}, ahead, remainingMs, reservedMs,
}: Options): number | undefined {
	if (serviceMs === undefined || limit === undefined) {
		return undefined;
	}

	const servedAtOnce = Math.max(1, limit);
	const roomMs = (ahead.serviceMs / servedAtOnce) - (Math.max(0, remainingMs) * waitFraction);
	const delay = Math.max(roomMs, reservedMs, 0) + (serviceMs / servedAtOnce);
	return Math.max(retryDelayMs.min, Math.min(retryDelayMs.max, delay));
}
