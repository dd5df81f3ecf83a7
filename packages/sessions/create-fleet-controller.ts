/* eslint-disable no-await-in-loop -- steps run one after another */
import {rankHosts} from '@sapphirefall/decisions';
import {bootstrapStaggerMs} from './bootstrap-stagger-ms.ts';
import {collectVotes} from './collect-votes.ts';
import type {FleetController} from './fleet-controller.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import {findFailoverRank} from './find-failover-rank.ts';
import {findFailoverReason} from './find-failover-reason.ts';
import type {GroupRow} from './group-row.ts';
import type {HostRow} from './host-row.ts';
import type {Instant} from './instant.ts';
import {isAnswering} from './is-answering.ts';
import type {Gateways} from './gateways.ts';
import type {ListedInstance} from './listed-instance.ts';
import type {OrderPromotion} from './order-promotion.ts';
import {replacePrimary} from './replace-primary.ts';
import type {FailoverReason} from './failover-reason.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import {bootstrapSettleMs} from './bootstrap-settle-ms.ts';
import type {Store} from './store.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	/** Registration of this host. */
	readonly own: HostRow;
	readonly store: Store;
	readonly gateways: Pick<Gateways, 'list' | 'probe' | 'findSilentSince' | 'hasSilentHost'>;
	readonly listGroups: () => readonly SessionGroup[];
	readonly listInstances: () => readonly ListedInstance[];
	/** Whether the platform's list of instances is recent enough to act on. */
	readonly isListFresh: () => boolean;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	readonly orderPromotion: OrderPromotion;
	/** Registered hosts that have been silent for long, of those that this host monitors. */
	readonly listSilentHosts: () => readonly string[];
	/** Workspace whose connections are used to query instances. */
	readonly findWorkspace: () => string | undefined;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Milliseconds for which a host that is no longer registered may still hold leases. */
const unregisteredLeaseMs = 6000;

/** Milliseconds by which each host waits longer than the host ranked before it, so that only one replaces a primary. */
const rankDelayMs = 200;

/** Highest rank of a host that may resume an abandoned failover. */
const maxResumeRank = 4;

/** Number of hosts of other zones that check the gateways of a primary once a host of its zone is silent. */
const proberCount = 4;

/** Milliseconds within which an instance must answer when this host checks whether it is silent. */
const confirmTimeoutMs = 300;

/** Milliseconds between two attempts to register, to remove silent hosts, or to store a first primary. */
const retryIntervalMs = 500;

/** Milliseconds until the next vote on a primary after one that did not find it silent. */
const voteIntervalMs = 500;

/** Maximum number of other hosts that vote on whether a primary is silent. */
const maxVoters = 12;

/** Creates the fleet controller of a host; see `FleetController`. */
export function createFleetController(options: Options): FleetController {
	const {own, store, now, log} = options;
	/** Hosts by name, and when each was last seen registered, in milliseconds of the steady clock. */
	const seenHosts = new Map<string, {readonly row: HostRow; readonly seenAt: number}>();
	/** Current reason to replace each group's primary, and since when, in milliseconds of the steady clock. */
	const reasonSince = new Map<string, {readonly reason: FailoverReason; readonly since: number}>();
	/** Until when this host does not start another vote on a group's primary, in milliseconds of the steady clock. */
	const nextVoteAt = new Map<string, number>();
	/** Groups whose primary this host is replacing. */
	const busyGroups = new Set<string>();
	let fleet: FleetRows | undefined;
	/** Hosts that are marked as gone, and since when, in milliseconds of the steady clock. */
	const markedSince = new Map<string, number>();
	/** When the fleet's rows first became known, in milliseconds of the steady clock. */
	let knownSince = Number.POSITIVE_INFINITY;
	/** When this host last attempted what it repeats at `retryIntervalMs`, in milliseconds of the steady clock. */
	let attemptedAt = Number.NEGATIVE_INFINITY;

	/** Finds the milliseconds for which this host lets others store a group's first primary. */
	const findBootstrapDelay = (group: string) => {
		const rank = rankHosts(`first/${group}`, [...fleet?.hosts.keys() ?? []]).indexOf(own.name);
		return bootstrapSettleMs + (Math.max(0, rank) * bootstrapStaggerMs);
	};

	/** Whether the store holds the registration of this process, not that of an earlier start. */
	const isRegistered = () => fleet?.hosts.get(own.name)?.incarnation === own.incarnation;

	const register = async () => {
		const key = `${fleetKeys.hostPrefix}${own.name}`;
		const outcome = await store.commit({expected: new Map(), values: new Map([[key, JSON.stringify(own)]])});
		log.info({incarnation: own.incarnation, outcome: outcome.kind}, 'host: The host tried to register in the store.');
	};

	/** Stores the first primary of a group that has none in the store: the instance that reports this role in the platform's list. */
	const commitFirstPrimary = async (group: string) => {
		const primary = options.listInstances().find(entry => entry.group === group && entry.role === 'primary' && !entry.isDeparting);
		if (primary === undefined) {
			return;
		}

		const key = `${fleetKeys.groupPrefix}${group}`;
		const row: GroupRow = {
			epoch: 1, state: 'serving', primary: primary.id, successor: '', holder: own.name, holderIncarnation: own.incarnation, token: 0,
		};
		const outcome = await store.commit({expected: new Map([[key, 0]]), values: new Map([[key, JSON.stringify(row)]])});
		log.info({group, primary: primary.id, outcome: outcome.kind}, 'group: The host tried to store the first primary.');
	};

	const findRank = (primary: ListedInstance | undefined) => findFailoverRank({
		self: own.name,
		zone: primary?.zone ?? '',
		hosts: [...fleet?.hosts.values() ?? []],
		gateways: primary === undefined ? [] : options.gateways.list(primary, undefined),
		areGatewaysSilent: primary !== undefined && options.gateways.findSilentSince(primary) !== undefined,
		hasFailoverLock: hasFailoverLock(),
	});

	/** Whether the process that last changed a group's row has ended. */
	const hasHolderEnded = ({holder, holderIncarnation}: GroupRow) => holderIncarnation !== undefined
		&& fleet !== undefined && !fleet.goneHosts.has(holder) && fleet.hosts.get(holder)?.incarnation !== holderIncarnation;

	/** Finds this host's rank among those that may resume an abandoned failover. */
	const findResumeRank = (group: string) => {
		const reachable = [...fleet?.hosts.values() ?? []].filter(({zone}) => zone === own.zone || !options.gateways.hasSilentHost(zone));
		return Math.min(maxResumeRank, rankHosts(`resume/${group}`, reachable.map(({name}) => name)).indexOf(own.name));
	};

	const hasFailoverLock = () => busyGroups.size > 0 && [...fleet?.groups.values() ?? []].some(row => row.state === 'fencing' && row.holder === own.name);

	/** Pings the gateways of a primary in another zone of which a host is silent, since the whole zone may be lost. */
	const probeGateways = (primary: ListedInstance) => {
		if (primary.zone === own.zone || !options.gateways.hasSilentHost(primary.zone)) {
			return;
		}

		const others = [...fleet?.hosts.values() ?? []].filter(({zone}) => zone !== primary.zone).map(({name}) => name);
		if (hasFailoverLock() || rankHosts(`failover/${primary.zone}`, others).slice(0, proberCount).includes(own.name)) {
			options.gateways.probe(primary);
		}
	};

	/** Checks whether an instance is silent for this host; sends a request when the recent ones do not show it. */
	const isInstanceSilent = async (groupName: string, id: string): Promise<boolean> => {
		const instance = options.listGroups().find(({name}) => name === groupName)?.findInstance(id);
		const workspace = options.findWorkspace();
		if (instance === undefined || workspace === undefined) {
			return false;
		}

		const {lastAnswerAt, unansweredSince} = instance.health();
		const at = now().steady;
		if (unansweredSince !== undefined && at - unansweredSince > confirmTimeoutMs) {
			return true;
		}

		return at - lastAnswerAt >= confirmTimeoutMs && !await isAnswering(instance, {workspace, timeout: confirmTimeoutMs});
	};

	/** Checks by a vote of this host and others whether a primary is silent. */
	const isConfirmed = async (group: string, primary: string): Promise<boolean> => {
		const others = rankHosts(`vote/${group}`, [...fleet?.hosts.keys() ?? []]).filter(name => name !== own.name).slice(0, maxVoters);
		const {isSilent, votes} = await collectVotes([own.name, ...others].map(async name => {
			const vote = name === own.name ? await isInstanceSilent(group, primary) : await options.findPeer(name)?.confirmSilence(group, primary);
			return vote === undefined ? undefined : {zone: fleet?.hosts.get(name)?.zone ?? '', isSilent: vote};
		}));
		log.info({
			group, primary, asked: others.length + 1, answered: votes.length, silent: votes.filter(vote => vote.isSilent).length, isSilent,
		}, 'failover: The hosts voted on whether the primary is silent.');
		return isSilent;
	};

	const replace = async (group: SessionGroup, {primary, epoch}: GroupRow, reason: FailoverReason) => {
		const workspace = options.findWorkspace();
		if (workspace === undefined) {
			return;
		}

		if (reason === 'silent' && !await isConfirmed(group.name, primary)) {
			nextVoteAt.set(group.name, now().steady + voteIntervalMs);
			return;
		}

		const fencedAt = group.fencedAt();
		const seenFence = fencedAt === undefined ? undefined : {epoch, at: fencedAt};
		await replacePrimary({
			group, reason, self: own.name, incarnation: own.incarnation, seenFence, store, orderPromotion: options.orderPromotion, findPeer: options.findPeer, listRecentHosts, workspace, now, log,
		});
	};

	/**
	 * Removes silent hosts from the store in two steps: a host that is marked as gone gets no further leases, and its row
	 * is deleted once the leases that it may still hold have expired.
	 */
	const removeSilentHosts = async () => {
		const at = now().steady;
		for (const name of options.listSilentHosts()) {
			const row = fleet?.hosts.get(name);
			if (row !== undefined) {
				await changeHost(row, {...row, isGone: true});
				markedSince.set(name, at);
			}
		}

		for (const row of isRemover() ? fleet?.goneHosts.values() ?? [] : []) {
			const markedAt = markedSince.get(row.name) ?? at;
			markedSince.set(row.name, markedAt);
			if (at - markedAt > unregisteredLeaseMs) {
				await changeHost(row, undefined);
				markedSince.delete(row.name);
			}
		}
	};

	/** Whether this host deletes the rows of gone hosts: the allocator of rate partition 0, so that only one host does. */
	const isRemover = () => fleet?.rateAllocators.get(0)?.holder === own.name;

	const changeHost = async ({version, name}: Versioned<HostRow>, value: HostRow | undefined) => {
		const key = `${fleetKeys.hostPrefix}${name}`;
		const outcome = await store.commit({
			expected: new Map([[key, version]]),
			values: new Map([[key, value && JSON.stringify({...value, version: undefined})]]),
		});
		log.info({name, isDropped: value === undefined, outcome: outcome.kind}, 'host: The host tried to mark a silent host as gone in the store, or to delete its row.');
	};

	const listRecentHosts = () => [...seenHosts.values()]
		.filter(({seenAt}) => now().steady - seenAt < unregisteredLeaseMs)
		.map(({row}) => row);

	const stepGroup = (group: SessionGroup) => {
		const row = fleet?.groups.get(group.name);
		if (row === undefined || busyGroups.has(group.name) || (nextVoteAt.get(group.name) ?? 0) > now().steady) {
			return;
		}

		const instance = group.findInstance(row.primary);
		const listed = instance?.listed();
		if (listed !== undefined) {
			probeGateways(listed);
		}

		const at = now().steady;
		const reason = findFailoverReason({
			row,
			isDeparting: listed?.isDeparting ?? false,
			missingSince: group.missingSince(row.primary),
			health: instance?.health(),
			gatewaysSilentSince: listed && options.gateways.findSilentSince(listed),
			hasHolderEnded: hasHolderEnded(row),
			fencedAt: group.fencedAt(),
			isListFresh: options.isListFresh(),
			now: at,
		});
		const previous = reasonSince.get(group.name);
		if (reason === undefined) {
			reasonSince.delete(group.name);
			return;
		}

		if (previous?.reason !== reason) {
			reasonSince.set(group.name, {reason, since: at});
		}

		if (at - (previous?.reason === reason ? previous.since : at) >= (reason === 'abandoned' ? findResumeRank(group.name) : findRank(listed)) * rankDelayMs) {
			reasonSince.delete(group.name);
			busyGroups.add(group.name);
			void replace(group, row, reason).finally(() => { // eslint-disable-line promise/prefer-await-to-then
				busyGroups.delete(group.name);
			});
		}
	};

	return {
		updateFleet(newer) {
			knownSince = Math.min(knownSince, now().steady);
			fleet = newer;
			for (const row of newer.hosts.values()) {
				seenHosts.set(row.name, {row, seenAt: now().steady});
			}
		},
		step() {
			const at = now().steady;
			if (fleet !== undefined && at - attemptedAt > retryIntervalMs) {
				attemptedAt = at;
				void removeSilentHosts();
				if (!isRegistered()) {
					void register();
				}

				for (const group of options.listGroups()) {
					if (!fleet.groups.has(group.name) && at - knownSince > findBootstrapDelay(group.name)) {
						void commitFirstPrimary(group.name);
					}
				}
			}

			if (isRegistered()) {
				for (const group of options.listGroups()) {
					stepGroup(group);
				}
			}
		},
		register,
		isRegistered,
		listRecentHosts,
		async fenceGroup(group, epoch) {
			const known = options.listGroups().find(({name}) => name === group);
			known?.fence(epoch);
			return known !== undefined;
		},
		confirmSilence: isInstanceSilent,
		async leave() {
			const key = `${fleetKeys.hostPrefix}${own.name}`;
			const row = fleet?.hosts.get(own.name);
			if (row?.incarnation === own.incarnation) {
				await store.commit({expected: new Map([[key, row.version]]), values: new Map([[key, undefined]])});
			}
		},
	};
}
