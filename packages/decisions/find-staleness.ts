import {isCovered} from './is-covered.ts';
import type {GroupView} from './group-view.ts';
import type {LogPoint} from './log-point.ts';

/**
 * Finds how old data that ends at a log point can be at most.
 *
 * The age counts from the newest proof whose primary position the point covers, that is from before the probe
 * that showed the position.
 *
 * @param view The group.
 * @param options The point and the present monotonic milliseconds.
 * @returns Milliseconds, or `Infinity` when nothing is proven.
 */
export function findStaleness(
	view: GroupView,
	options: {readonly at: LogPoint; readonly now: number},
): number {
	const {at, now} = options;
	if (view.proof !== undefined && isCovered(view.proof.point, at)) {
		return now - view.proof.since;
	}

	const proof = view.recentProofs.findLast(kept => isCovered(kept.point, at));
	return proof === undefined ? Infinity : now - proof.since;
}
