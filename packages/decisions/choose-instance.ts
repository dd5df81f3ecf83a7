import {findStaleness} from './find-staleness.ts';
import {isCovered} from './is-covered.ts';
import type {Freshness} from './freshness.ts';
import type {GroupView} from './group-view.ts';
import type {InstanceView} from './instance-view.ts';
import type {LogPoint} from './log-point.ts';
import type {ReadPlan} from './read-plan.ts';

/** A replica that has not answered a probe for this long, in milliseconds, gets no reads. */
const silenceLimit = 1000;

/**
 * Chooses the instance for a read.
 *
 * Takes a replica that meets the freshness: one of the host's own zone first, then the one with the quickest
 * probe. Takes the primary when no replica does.
 *
 * @param view The group.
 * @param options The freshness, the session's point if it has one, the host's zone, and monotonic milliseconds.
 */
export function chooseInstance(
	view: GroupView,
	options: {
		readonly freshness: Freshness;
		readonly point: LogPoint | undefined;
		readonly zone: string;
		readonly now: number;
	},
): ReadPlan {
	const zones = new Map(view.group.instances.map(instance => [instance.id, instance.zone]));
	const departing = new Set(view.group.instances.filter(({isDeparting}) => isDeparting).map(({id}) => id));
	const replicas = [...view.instances.values()]
		.filter(({report}) => report.role === 'replica' && report.term === view.term)
		.filter(({report, answeredAt}) => !departing.has(report.instance) && options.now - answeredAt <= silenceLimit)
		.filter(replica => meetsFreshness(view, replica, options))
		.toSorted((a, b) => rankReplica(a, zones, options.zone) - rankReplica(b, zones, options.zone));
	const [replica] = replicas;
	if (replica !== undefined) {
		return {kind: 'replica', instance: replica.report.instance};
	}

	return view.primary === undefined ? {kind: 'none'} : {kind: 'primary', instance: view.primary};
}

function meetsFreshness(
	view: GroupView,
	{report}: InstanceView,
	options: {readonly freshness: Freshness; readonly point: LogPoint | undefined; readonly now: number},
): boolean {
	switch (options.freshness.kind) {
		case 'latest': {
			return false;
		}

		case 'session': {
			return options.point !== undefined && isCovered(options.point, report.at);
		}

		case 'within': {
			return findStaleness(view, {at: report.at, now: options.now}) <= options.freshness.age;
		}
	}
}

/** Ranks by round trip in milliseconds; another zone costs as much as a slow round trip. */
function rankReplica(view: InstanceView, zones: ReadonlyMap<string, string>, zone: string): number {
	const otherZoneCost = zones.get(view.report.instance) === zone ? 0 : 1000;
	return otherZoneCost + view.answeredAt - view.sentAt;
}
