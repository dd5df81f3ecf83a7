import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {Gateways} from './gateways.ts';
import type {HostRow} from './host-row.ts';
import type {ListedInstance} from './listed-instance.ts';
import {rankGateways} from './rank-gateways.ts';
import {isHostAllowed} from './regions/is-host-allowed.ts';
import type {RegionMap} from './regions/region-map.ts';

type Options = {
	readonly own: HostRow;
	readonly findFleet: () => FleetRows | undefined;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Returns the present number of gateways of each instance. */
	readonly countGateways: () => number;
	/** Whether the connection limit of a group lets each gateway hold a connection for every workspace. */
	readonly hasConnectionPerWorkspace: (group: string) => boolean;
	readonly regions: RegionMap;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** Reachability of another host; times in milliseconds of the steady clock. */
type Reachability = {
	lastAnswerAt: number;
	/** Until when the host is skipped, see `backoffMs`. */
	avoidedUntil: number;
	/** When the first ping was sent that the host has left unanswered; undefined after an answer. */
	silentSince: number | undefined;
	/** Incarnation of the host's process that is stopping, which takes no new work until it ends. */
	stoppingIncarnation: number | undefined;
	/** The ping in flight, if any. */
	ping: Promise<boolean> | undefined;
};

/**
 * Milliseconds after an answer for which a host counts as reachable without a new ping. The time is shorter for work
 * that must not be retried: a read whose answer is lost runs again elsewhere, but a write then has an unknown outcome.
 */
const reachableForMs = {retryable: 10_000, other: 1000};

/** Milliseconds for which a host is skipped after it did not answer, did not serve a job or could not reach the instance. */
const backoffMs = 1000;

/** Milliseconds without an answer to a job after which the gateways of its instance are pinged, since their zone may be lost. */
const slowAnswerMs = 150;

/** Milliseconds after an answer for which a probe does not ping a host again. */
const probeFreshMs = 150;

/** Creates the access to instances through other hosts. */
export function createGateways({
	own, findFleet, findPeer, countGateways, hasConnectionPerWorkspace, regions, now,
}: Options): Gateways {
	const reachabilities = new Map<string, Reachability>();
	/** Time until which a host is not used for an instance that it could not reach, by host and instance. */
	const unreachableUntil = new Map<string, number>();
	/** Results of `rankGateways` for the current list of hosts. */
	const ranks = new Map<string, readonly string[]>();
	let rankedFleet: FleetRows | undefined;

	const findReachability = (host: string): Reachability => {
		const known = reachabilities.get(host) ?? {
			lastAnswerAt: Number.NEGATIVE_INFINITY, avoidedUntil: 0, silentSince: undefined, stoppingIncarnation: undefined, ping: undefined,
		};
		reachabilities.set(host, known);
		return known;
	};

	const list: Gateways['list'] = (instance, workspace) => {
		const fleet = findFleet();
		if (fleet !== rankedFleet) {
			ranks.clear();
			rankedFleet = fleet;
		}

		const hasOnePerWorkspace = hasConnectionPerWorkspace(instance.group);
		const count = countGateways();
		const key = `${instance.id} ${instance.zone} ${workspace ?? ''} ${count} ${String(hasOnePerWorkspace)}`;
		const known = ranks.get(key) ?? rankGateways({
			instance, workspace, self: own.name, zone: own.zone, count, hasConnectionPerWorkspace: hasOnePerWorkspace, hosts: [...fleet?.hosts.values() ?? []],
		});
		ranks.set(key, known);
		return known;
	};

	const recordAnswer = (reachability: Reachability) => {
		reachability.lastAnswerAt = now();
		reachability.silentSince = undefined;
	};

	const ping = async (host: string, reachability: Reachability) => {
		const sentAt = now();
		const isAnswering = await findPeer(host)?.ping() ?? false;
		reachability.ping = undefined;
		if (isAnswering) {
			recordAnswer(reachability);
		} else if (reachability.lastAnswerAt < sentAt) {
			reachability.avoidedUntil = now() + backoffMs;
			reachability.silentSince ??= sentAt;
		}

		return isAnswering;
	};

	/** Finds since when a host has been silent; undefined if it answered, or was last found silent so long ago that this may be over. */
	const findHostSilentSince = (host: string): number | undefined => {
		const known = reachabilities.get(host);
		return known !== undefined && known.avoidedUntil > now() ? known.silentSince : undefined;
	};

	/** Lists the other hosts of an instance's own zone that connect to it. */
	const listLocalGateways = (instance: ListedInstance): readonly string[] => {
		const hosts = findFleet()?.hosts;
		return list(instance, undefined).filter(host => host !== own.name && hosts?.get(host)?.zone === instance.zone);
	};

	const probe = (instance: ListedInstance) => {
		for (const host of listLocalGateways(instance)) {
			const reachability = findReachability(host);
			if (now() - reachability.lastAnswerAt > probeFreshMs) {
				reachability.ping ??= ping(host, reachability);
			}
		}
	};

	const backOff = (host: string) => {
		findReachability(host).avoidedUntil = now() + backoffMs;
	};

	const findIncarnation = (host: string) => findFleet()?.hosts.get(host)?.incarnation;

	/** Whether the registered process of a host said that it is stopping. */
	const isStopping = (host: string) => {
		const {stoppingIncarnation} = findReachability(host);
		return stoppingIncarnation !== undefined && stoppingIncarnation === findIncarnation(host);
	};

	const createPairKey = (host: string, instance: ListedInstance) => `${host} ${instance.id}`;

	return {
		self: own.name,
		list,
		count: countGateways,
		isAvoided: (host, instance) => isStopping(host) || Math.max(findReachability(host).avoidedUntil, unreachableUntil.get(createPairKey(host, instance)) ?? 0) > now(),
		async isAnswering(host, {isRetryable}) {
			const reachability = findReachability(host);
			if (now() - reachability.lastAnswerAt < (isRetryable ? reachableForMs.retryable : reachableForMs.other)) {
				return true;
			}

			reachability.ping ??= ping(host, reachability);
			return reachability.ping;
		},
		mayReceive: (host, allowed) => host === own.name || isHostAllowed(findFleet()?.hosts.get(host)?.zone, {allowed, regions}),
		probe,
		findSilentSince(instance) {
			const since = listLocalGateways(instance).map(host => findHostSilentSince(host));
			return since.length === 0 || since.includes(undefined) ? undefined : Math.max(...since.filter(at => at !== undefined));
		},
		hasSilentHost: zone => [...reachabilities.keys()].some(host => findHostSilentSince(host) !== undefined && findFleet()?.hosts.get(host)?.zone === zone),
		async runJob(host, instance, job) {
			const timer = setTimeout(probe, slowAnswerMs, instance);
			// When the answer comes, the next process of the host may be registered.
			const incarnation = findIncarnation(host);
			const answer = await findPeer(host)?.runJob({group: instance.group, id: instance.id}, job);
			clearTimeout(timer);
			if (answer === 'stopping') {
				const reachability = findReachability(host);
				recordAnswer(reachability);
				reachability.stoppingIncarnation = incarnation;
				return 'notServed';
			}

			if (answer === undefined || answer === 'notServed') {
				backOff(host);
			} else {
				recordAnswer(findReachability(host));
				if (answer.kind === 'notSent' && answer.isUnreachable === true) {
					unreachableUntil.set(createPairKey(host, instance), now() + backoffMs);
				}
			}

			return answer;
		},
	};
}
