import {comparePoints} from './compare-points.ts';
import type {FailoverSettings} from './failover-settings.ts';
import type {GroupView} from './group-view.ts';

/**
 * Returns whether the primary of a group is suspected to have failed.
 *
 * True if the primary has not answered for longer than `suspectAfter`, if no primary is known, or if an instance has
 * granted a higher term than the primary's and no primary of that term has appeared for twice as long.
 *
 * A departing primary also counts as suspected once a replica that does not depart has its whole log, so that
 * it is replaced like a silent one.
 *
 * @param view The group as this host sees it.
 * @param options When this host began to watch, the failover settings, and monotonic milliseconds.
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
	const lastAnswerAt = primary?.report.term === view.term ? primary.answeredAt : watchedSince;
	return now - lastAnswerAt > limit || hasHigherTermSince(view, now - (2 * limit)) || isHandoverDue(view);
}

/** Returns whether an instance entered a term higher than the group's before the given time. */
function hasHigherTermSince(view: GroupView, before: number): boolean {
	return [...view.instances.values()]
		.some(({report, changedAt}) => report.term > view.term && changedAt < before);
}

/** Returns whether the primary departs and a replica that does not depart has its whole log. */
function isHandoverDue(view: GroupView): boolean {
	const departing = new Set(view.group.instances.filter(({isDeparting}) => isDeparting).map(({id}) => id));
	const primary = view.primary === undefined ? undefined : view.instances.get(view.primary);
	if (primary === undefined || !departing.has(primary.report.instance)) {
		return false;
	}

	return [...view.instances.values()]
		.filter(({report}) => !departing.has(report.instance) && report.term === view.term)
		.some(({report}) => comparePoints(report.point, primary.report.point) >= 0);
}
