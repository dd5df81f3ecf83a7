/* eslint-disable no-await-in-loop -- the steps follow each other */
import {rankHosts} from '@sapphirefall/decisions';
import {bootstrapStaggerMs} from './bootstrap-stagger-ms.ts';
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
import {isMajoritySilent} from './is-majority-silent.ts';
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
	readonly own: HostRow;
	readonly store: Store;
	/** Hosts that connect to an instance, best first. */
	readonly listGateways: (instance: ListedInstance) => readonly string[];
	readonly listGroups: () => readonly SessionGroup[];
	readonly listInstances: () => readonly ListedInstance[];
	/** Whether what the platform lists is known to be recent. */
	readonly isListFresh: () => boolean;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	readonly orderPromotion: OrderPromotion;
	/** Registered hosts that have not been heard of for long, as far as this host has to know. */
	readonly listSilentHosts: () => readonly string[];
	/** Workspace in whose name instances are asked. */
	readonly findWorkspace: () => string | undefined;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Milliseconds for which a host that is no longer registered may still hold leases. */
const recentSpan = 6000;

/** Milliseconds by which each host waits longer than the one before it, so that one alone replaces a primary. */
const placeDelay = 300;

/** Milliseconds within which an instance must answer when another host asks about it. */
const confirmTimeout = 300;

/** Milliseconds between two tries to register, or to name a first primary. */
const retryInterval = 500;

/** Hosts that are asked about a silent primary at most. */
const votersLimit = 12;

/** Creates a host's part in the control of the fleet. */
export function createFleetController(options: Options): FleetController {
	const {own, store, now, log} = options;
	const recent = new Map<string, {readonly row: HostRow; readonly seenAt: number}>();
	const reasonSince = new Map<string, {readonly reason: FailoverReason; readonly since: number}>();
	const busyGroups = new Set<string>();
	let fleet: FleetRows | undefined;
	/** Hosts that are marked as gone, and since when in steady milliseconds. */
	const marked = new Map<string, number>();
	/** Since when the fleet's rows are known, in steady milliseconds. */
	let knownSince = Number.POSITIVE_INFINITY;
	let triedAt = Number.NEGATIVE_INFINITY;

	/** Milliseconds for which this host leaves it to others to name a group's first primary. */
	const findFirstDelay = (group: string) => {
		const place = rankHosts(`first/${group}`, [...fleet?.hosts.keys() ?? []]).indexOf(own.name);
		return bootstrapSettleMs + (Math.max(0, place) * bootstrapStaggerMs);
	};

	const isRegistered = () => fleet?.hosts.get(own.name)?.incarnation === own.incarnation;

	const register = async () => {
		const key = `${fleetKeys.hostPrefix}${own.name}`;
		const outcome = await store.commit({expected: new Map(), values: new Map([[key, JSON.stringify(own)]])});
		log.info({incarnation: own.incarnation, outcome: outcome.kind}, 'host: The host registers in the store.');
	};

	/** Names the first primary of a group that has none in the store, as the instances see themselves. */
	const nameFirstPrimary = async (group: string) => {
		const primary = options.listInstances().find(entry => entry.group === group && entry.role === 'primary' && !entry.isDeparting);
		if (primary === undefined) {
			return;
		}

		const key = `${fleetKeys.groupPrefix}${group}`;
		const row: GroupRow = {
			epoch: 1, state: 'serving', primary: primary.id, successor: '', holder: own.name, token: 0,
		};
		const outcome = await store.commit({expected: new Map([[key, 0]]), values: new Map([[key, JSON.stringify(row)]])});
		log.info({group, primary: primary.id, outcome: outcome.kind}, 'group: The first primary is named in the store.');
	};

	const findPlace = (primary: ListedInstance | undefined) => findFailoverRank({
		self: own.name,
		zone: primary?.zone ?? '',
		hosts: [...fleet?.hosts.values() ?? []],
		gateways: primary === undefined ? [] : options.listGateways(primary),
		hasFailoverLock: [...fleet?.groups.values() ?? []].some(row => row.state === 'fencing' && row.holder === own.name && busyGroups.size > 0),
	});

	/** Whether this host hears nothing of an instance, after asking it if there is no evidence yet. */
	const hearsNothing = async (groupName: string, id: string): Promise<boolean> => {
		const instance = options.listGroups().find(({name}) => name === groupName)?.findInstance(id);
		const workspace = options.findWorkspace();
		if (instance === undefined || workspace === undefined) {
			return false;
		}

		const {lastAnswerAt: heardAt, unansweredSince} = instance.health();
		const at = now().steady;
		if (unansweredSince !== undefined && at - unansweredSince > confirmTimeout) {
			return true;
		}

		return at - heardAt >= confirmTimeout && !await isAnswering(instance, {workspace, timeout: confirmTimeout});
	};

	/** Asks other hosts whether they hear nothing of a primary either. */
	const isConfirmed = async (group: string, primary: string): Promise<boolean> => {
		const others = rankHosts(`vote/${group}`, [...fleet?.hosts.keys() ?? []]).filter(name => name !== own.name).slice(0, votersLimit);
		const votes = await Promise.all([own.name, ...others].map(async name => {
			const isSilent = name === own.name ? await hearsNothing(group, primary) : await options.findPeer(name)?.confirmSilence(group, primary);
			return isSilent === undefined ? undefined : {zone: fleet?.hosts.get(name)?.zone ?? '', isSilent};
		}));
		const answered = votes.filter(vote => vote !== undefined);
		const isSilent = isMajoritySilent(answered);
		log.info({
			group, primary, answered: answered.length, silent: answered.filter(vote => vote.isSilent).length, isSilent,
		}, 'failover: Other hosts were asked about a silent primary.');
		return isSilent;
	};

	const replace = async (group: SessionGroup, primary: string, reason: FailoverReason) => {
		const workspace = options.findWorkspace();
		if (workspace === undefined || (reason === 'silent' && !await isConfirmed(group.name, primary))) {
			return;
		}

		await replacePrimary({
			group, reason, self: own.name, store, orderPromotion: options.orderPromotion, findPeer: options.findPeer, listRecentHosts, workspace, now, log,
		});
	};

	/**
	 * Takes hosts that are gone out of the store, in two steps: a host that is marked gets no lease any more, and
	 * its row is dropped when the leases that it may still have are over.
	 */
	const removeSilentHosts = async () => {
		const at = now().steady;
		for (const name of options.listSilentHosts()) {
			const row = fleet?.hosts.get(name);
			if (row !== undefined) {
				await changeHost(row, {...row, isGone: true});
				marked.set(name, at);
			}
		}

		for (const row of isRemover() ? fleet?.goneHosts.values() ?? [] : []) {
			const markedAt = marked.get(row.name) ?? at;
			marked.set(row.name, markedAt);
			if (at - markedAt > recentSpan) {
				await changeHost(row, undefined);
				marked.delete(row.name);
			}
		}
	};

	const isRemover = () => fleet?.rateHomes.get(0)?.holder === own.name;

	const changeHost = async ({version, name}: Versioned<HostRow>, value: HostRow | undefined) => {
		const key = `${fleetKeys.hostPrefix}${name}`;
		const outcome = await store.commit({
			expected: new Map([[key, version]]),
			values: new Map([[key, value && JSON.stringify({...value, version: undefined})]]),
		});
		log.info({name, isDropped: value === undefined, outcome: outcome.kind}, 'host: A host that was not heard of for long is taken out of the store.');
	};

	const listRecentHosts = () => [...recent.values()]
		.filter(({seenAt}) => now().steady - seenAt < recentSpan)
		.map(({row}) => row);

	const stepGroup = (group: SessionGroup) => {
		const row = fleet?.groups.get(group.name);
		if (row === undefined || busyGroups.has(group.name)) {
			return;
		}

		const instance = group.findInstance(row.primary);
		const at = now().steady;
		const reason = findFailoverReason({
			row,
			isDeparting: instance?.listed().isDeparting ?? false,
			missingSince: group.missingSince(row.primary),
			health: instance?.health(),
			fencedAt: group.fencedAt(),
			isListFresh: options.isListFresh(),
			now: at,
		});
		const before = reasonSince.get(group.name);
		if (reason === undefined) {
			reasonSince.delete(group.name);
			return;
		}

		if (before?.reason !== reason) {
			reasonSince.set(group.name, {reason, since: at});
		}

		if (at - (before?.reason === reason ? before.since : at) >= findPlace(instance?.listed()) * placeDelay) {
			reasonSince.delete(group.name);
			busyGroups.add(group.name);
			void replace(group, row.primary, reason).finally(() => { // eslint-disable-line promise/prefer-await-to-then
				busyGroups.delete(group.name);
			});
		}
	};

	return {
		updateFleet(newer) {
			knownSince = Math.min(knownSince, now().steady);
			fleet = newer;
			for (const row of newer.hosts.values()) {
				recent.set(row.name, {row, seenAt: now().steady});
			}
		},
		step() {
			const at = now().steady;
			if (fleet !== undefined && at - triedAt > retryInterval) {
				triedAt = at;
				void removeSilentHosts();
				if (!isRegistered()) {
					void register();
				}

				for (const group of options.listGroups()) {
					if (!fleet.groups.has(group.name) && at - knownSince > findFirstDelay(group.name)) {
						void nameFirstPrimary(group.name);
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
		confirmSilence: hearsNothing,
		async leave() {
			const key = `${fleetKeys.hostPrefix}${own.name}`;
			const row = fleet?.hosts.get(own.name);
			if (row?.incarnation === own.incarnation) {
				await store.commit({expected: new Map([[key, row.version]]), values: new Map([[key, undefined]])});
			}
		},
	};
}
