import {comparePoints} from './compare-points.ts';
import type {FailoverSettings} from './failover-settings.ts';
import type {GroupView} from './group-view.ts';

/**
 * Tells whether a group seems to have no working primary.
 *
 * True when the primary has been silent for longer than the limit, when none is known, and when an instance
 * has granted a higher term than the primary's and no primary of that term has appeared for twice as long.
 *
 * A primary that departs is replaced like a silent one, once a replica that stays has all of its log.
 *
 * @param view The group as this host sees it.
 * @param options When this host began to watch, the failover times, and monotonic milliseconds.
 */
export function isSuspected(
	view: GroupView,
	options: {readonly watchedSince: number; readonly settings: FailoverSettings; readonly now: number},
): boolean {
	const {watchedSince, settings, now} = options;
	const limit = settings.suspectAfter;
	if (now - watchedSince <= limit) {
		return false;
	}

	const primary = view.primary === undefined ? undefined : view.instances.get(view.primary);
	const lastHeard = primary?.report.term === view.term ? primary.answeredAt : watchedSince;
	return now - lastHeard > limit || isOvertaken(view, now - (2 * limit)) || isHandoverDue(view);
}

/** Tells whether an instance has been in a higher term than the group's since before the given time. */
function isOvertaken(view: GroupView, before: number): boolean {
	return [...view.instances.values()]
		.some(({report, changedAt}) => report.term > view.term && changedAt < before);
}

/** Tells whether the primary departs and a replica that stays is level with it. */
function isHandoverDue(view: GroupView): boolean {
	const departing = new Set(view.group.instances.filter(({isDeparting}) => isDeparting).map(({id}) => id));
	const primary = view.primary === undefined ? undefined : view.instances.get(view.primary);
	if (primary === undefined || !departing.has(primary.report.instance)) {
		return false;
	}

	return [...view.instances.values()]
		.filter(({report}) => !departing.has(report.instance) && report.term === view.term)
		.some(({report}) => comparePoints(report.at, primary.report.at) >= 0);
}
