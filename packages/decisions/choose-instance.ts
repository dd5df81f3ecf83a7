import {findStaleness} from './find-staleness.ts';
import {isCovered} from './is-covered.ts';
import type {Freshness} from './freshness.ts';
import type {GroupView} from './group-view.ts';
import type {InstanceView} from './instance-view.ts';
import type {LogPoint} from './log-point.ts';
import type {ReadPlan} from './read-plan.ts';

/** Time without an answer to a probe after which a replica gets no reads. */
const replicaAnswerTimeoutMs = 1000;

/**
 * Chooses the instance for a read.
 *
 * Prefers the replicas that meet the freshness, those in the host's own zone first, then the one with the shortest
 * round trip of its last probe. Falls back to the primary when no replica meets the freshness.
 *
 * @param view The group.
 * @param options The required freshness, the log point that the session has seen if any, the host's zone, and
 * monotonic milliseconds.
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
		.filter(({report, answeredAt}) => !departing.has(report.instance) && options.now - answeredAt <= replicaAnswerTimeoutMs)
		.filter(replica => meetsFreshness(view, replica, options))
		.toSorted((a, b) => scoreReplica(a, zones, options.zone) - scoreReplica(b, zones, options.zone));
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
			return options.point !== undefined && isCovered(options.point, report.point);
		}

		case 'within': {
			return findStaleness(view, {point: report.point, now: options.now}) <= options.freshness.age;
		}
	}
}

/** Returns the probe's round trip in milliseconds, plus the time of a slow round trip for another zone; lower is better. */
function scoreReplica(view: InstanceView, zones: ReadonlyMap<string, string>, zone: string): number {
	const zonePenaltyMs = zones.get(view.report.instance) === zone ? 0 : 1000;
	return zonePenaltyMs + view.answeredAt - view.sentAt;
}
