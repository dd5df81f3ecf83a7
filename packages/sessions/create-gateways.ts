import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {Gateways} from './gateways.ts';
import type {HostRow} from './host-row.ts';
import type {ListedInstance} from './listed-instance.ts';
import {rankGateways} from './rank-gateways.ts';

type Options = {
	readonly own: HostRow;
	readonly findFleet: () => FleetRows | undefined;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Hosts that connect to each instance now. */
	readonly findCount: () => number;
	/** Whether each gateway of a group's instances may hold a connection for every workspace. */
	readonly hasConnectionPerWorkspace: (group: string) => boolean;
	/** Present steady milliseconds. */
	readonly now: () => number;
};

/** What is known of another host; times in steady milliseconds. */
type Reach = {
	heardAt: number;
	avoidedUntil: number;
	asking: Promise<boolean> | undefined;
};

/**
 * Milliseconds for which a host that answered is taken to answer still. A read whose answer is lost runs again elsewhere,
 * but a write then has an unknown outcome.
 */
const reachSpans = {repeatable: 10_000, other: 1000};

/** Milliseconds for which a host that did not answer is not used. */
const avoidance = 1000;

/** Creates the ways to instances through other hosts. */
export function createGateways({
	own, findFleet, findPeer, findCount, hasConnectionPerWorkspace: isRoomy, now,
}: Options): Gateways {
	const reaches = new Map<string, Reach>();
	/** Until when a host is not used for an instance, because it cannot reach that. */
	const cutUntil = new Map<string, number>();
	const ranks = new Map<string, readonly string[]>();
	let rankedFleet: FleetRows | undefined;

	const findReach = (host: string): Reach => {
		const known = reaches.get(host) ?? {heardAt: Number.NEGATIVE_INFINITY, avoidedUntil: 0, asking: undefined};
		reaches.set(host, known);
		return known;
	};

	const list: Gateways['list'] = (instance, workspace) => {
		const fleet = findFleet();
		if (fleet !== rankedFleet) {
			ranks.clear();
			rankedFleet = fleet;
		}

		const hasRoom = isRoomy(instance.group);
		const count = findCount();
		const key = `${instance.id} ${instance.zone} ${workspace ?? ''} ${count} ${String(hasRoom)}`;
		const known = ranks.get(key) ?? rankGateways({
			instance, workspace, self: own.name, zone: own.zone, count, hasConnectionPerWorkspace: hasRoom, hosts: [...fleet?.hosts.values() ?? []],
		});
		ranks.set(key, known);
		return known;
	};

	const ask = async (host: string, reach: Reach) => {
		const isAnswering = await findPeer(host)?.ping() ?? false;
		reach.asking = undefined;
		if (isAnswering) {
			reach.heardAt = now();
		} else {
			reach.avoidedUntil = now() + avoidance;
		}

		return isAnswering;
	};

	const avoid = (host: string) => {
		findReach(host).avoidedUntil = now() + avoidance;
	};

	const findPair = (host: string, instance: ListedInstance) => `${host} ${instance.id}`;

	return {
		self: own.name,
		list,
		isAvoided: (host, instance) => Math.max(findReach(host).avoidedUntil, cutUntil.get(findPair(host, instance)) ?? 0) > now(),
		async isAnswering(host, {isRepeatable}) {
			const reach = findReach(host);
			if (now() - reach.heardAt < (isRepeatable ? reachSpans.repeatable : reachSpans.other)) {
				return true;
			}

			reach.asking ??= ask(host, reach);
			return reach.asking;
		},
		async runJob(host, instance, job) {
			const answer = await findPeer(host)?.runJob({group: instance.group, id: instance.id}, job);
			if (answer === undefined || answer === 'notServed') {
				avoid(host);
			} else {
				findReach(host).heardAt = now();
				if (answer.kind === 'notSent' && answer.isUnreachable === true) {
					cutUntil.set(findPair(host, instance), now() + avoidance);
				}
			}

			return answer;
		},
	};
}
