import {isCovered} from './is-covered.ts';
import type {GroupView} from './group-view.ts';
import type {LogPoint} from './log-point.ts';

/**
 * Finds the maximum staleness of a log that ends at a log point.
 *
 * The staleness counts from the newest proof whose point of the primary the log includes, that is from when the
 * oldest probe of that proof was sent.
 *
 * @param view The group.
 * @param options The log point and the present time in monotonic milliseconds.
 * @returns Milliseconds, or `Infinity` if no proof covers the log point.
 */
export function findStaleness(
	view: GroupView,
	options: {readonly point: LogPoint; readonly now: number},
): number {
	const {point, now} = options;
	if (view.proof !== undefined && isCovered(view.proof.point, point)) {
		return now - view.proof.since;
	}

	const proof = view.recentProofs.findLast(kept => isCovered(kept.point, point));
	return proof === undefined ? Infinity : now - proof.since;
}
