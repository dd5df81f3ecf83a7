/* eslint-disable @typescript-eslint/naming-convention -- names defined by the platform */
/* eslint-disable no-await-in-loop -- instances start in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {createLink} from '../links/create-link.ts';
import type {Link} from '../links/link.ts';
import {usualLinkFault} from '../links/usual-link-fault.ts';
import type {CommitRecord} from './commit-record.ts';
import type {InstanceGroup} from './instance-group.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import type {LogEntry} from './log-entry.ts';
import {startInstanceStandIn} from './start-instance-stand-in.ts';
import type {StoreStandIn} from './store-stand-in.ts';

type Options = {
	readonly name: string;
	/** Availability zones, one instance in each; that of the first one leads. */
	readonly zones: readonly string[];
	/** Text that the instances' ids begin with, before their zones. */
	readonly idPrefix: string;
	/** Milliseconds after which a replica applies a commit that it has received. */
	readonly lag: number;
	/** Milliseconds that a statement takes at an instance. */
	readonly workMs: number;
	/** Milliseconds for which an instance that started again lists itself as cold. Defaults to 0. */
	readonly warmupMs?: number;
	/** Whether a commit is acknowledged only once another instance has received it. Defaults to false. */
	readonly isSynchronous?: boolean;
	/** Store in which the instances register. */
	readonly store: Pick<StoreStandIn, 'put' | 'delete'>;
	/** Whether the hosts reach each instance through a relay, which can be disturbed. Defaults to false. */
	readonly hasLinks?: boolean;
};

/** Milliseconds that a commit takes to a replica. */
const replicationDelayMs = 5;

/** Milliseconds between two messages of a primary to each other instance, also when it commits nothing. */
const heartbeatMs = 100;

/** Milliseconds for which an old primary goes on beside a new one that it can reach. */
const stepDownDelayMs = 1000;

/** Milliseconds between a change of role and its entry in the store. */
const listDelayMs = 50;

/** Milliseconds after which the entry of a crashed instance is removed. */
const expiryMs = 3600;

/** Starts the simulated instances of a group: a primary, and replicas that receive its commits and apply them later. */
export async function startInstanceGroup({
	name, zones, idPrefix, lag, workMs, warmupMs = 0, isSynchronous = false, store, hasLinks = false,
}: Options): Promise<InstanceGroup> {
	const instances: InstanceStandIn[] = [];
	const links = new Map<InstanceStandIn, Link>();
	/** When each instance started, in milliseconds of Unix time. */
	const born = new Map<InstanceStandIn, number>();
	const departing = new Set<InstanceStandIn>();
	const cut = new Set<InstanceStandIn>();
	const commits: CommitRecord[] = [];
	/** Instances that neither hosts nor the platform can reach. */
	const unreachable = new Set<InstanceStandIn>();
	/** Since when an old primary can reach a newer one, in milliseconds of the steady clock. */
	const reachesNewerSince = new Map<InstanceStandIn, number>();
	/** Commits that no other instance has received yet, with what to call when one has. */
	const unreplicated = new Map<LogEntry, () => void>();
	let newestTerm = 1;
	let seq = 0;
	const startedAt = Date.now();
	let isClosed = false;

	const isReachable = (from: InstanceStandIn, to: InstanceStandIn) =>
		from !== to && !cut.has(from) && !cut.has(to) && !from.isDown() && !to.isDown();

	/** Returns the milliseconds for which an instance that started again is still cold. */
	const findWarmup = (instance: InstanceStandIn) => Math.max(0, (born.get(instance) ?? Number.NEGATIVE_INFINITY) + warmupMs - Date.now());

	const list = (instance: InstanceStandIn) => {
		if (instance.isDown() || unreachable.has(instance) || isClosed) {
			return;
		}

		seq++;
		store.put('servers', instance.id, {
			backend: name, address: `127.0.0.1:${links.get(instance)?.port ?? instance.port}`, zone: zones[instances.indexOf(instance)], version: 'v1', capacity: 5,
			state: departing.has(instance) ? 'draining' : 'ready', warmup_ms: findWarmup(instance), db_role: instance.role(), seq, born: born.get(instance) ?? startedAt,
		});
	};

	const listLater = (instance: InstanceStandIn | undefined) => {
		if (instance !== undefined) {
			setTimeout(list, listDelayMs, instance);
		}
	};

	const findLeader = () => instances.findLast(instance => instance.role() === 'primary' && instance.term() === newestTerm) ?? instances.find(instance => instance.term() === newestTerm);

	const waitForReplica = async (entry: LogEntry) => new Promise<void>(resolve => {
		unreplicated.set(entry, resolve);
	});

	/** Lets the commits be acknowledged that an instance has received. */
	const settleReplicated = (instance: InstanceStandIn) => {
		const received = new Set(unreplicated.size === 0 ? [] : instance.log());
		for (const [entry, resolve] of unreplicated) {
			if (received.has(entry)) {
				unreplicated.delete(entry);
				resolve();
			}
		}
	};

	const sendLog = (from: InstanceStandIn) => {
		const term = from.term();
		const entries = [...from.log()];
		for (const to of instances.filter(instance => isReachable(from, instance) && !(instance.role() === 'primary' && instance.term() < term))) {
			setTimeout(() => {
				if (!isReachable(from, to) || from.role() !== 'primary' || from.term() !== term) {
					return;
				}

				to.receive(term, entries);
				// A newer primary, which has its own commits, takes nothing from an earlier one.
				if (to.role() === 'replica' && to.term() === term) {
					settleReplicated(to);
				}
			}, replicationDelayMs);
		}
	};

	const recordCommit = (instance: InstanceStandIn, entry: LogEntry) => {
		commits.push({
			group: name, instance: instance.id, entry, at: performance.now(), isBehindPromotion: instance.term() < newestTerm, isRolledBack: false,
		});
		sendLog(instance);
	};

	for (const [index, zone] of zones.entries()) {
		instances.push(await startInstanceStandIn({
			id: `${idPrefix}${zone}`,
			group: name,
			role: index === 0 ? 'primary' : 'replica',
			lag,
			workMs,
			waitForReplica: isSynchronous ? waitForReplica : undefined,
			onCommit(entry) {
				const instance = instances[index];
				if (instance !== undefined) {
					recordCommit(instance, entry);
				}
			},
			onRole() {
				listLater(instances[index]);
			},
		}));
	}

	for (const instance of hasLinks ? instances : []) {
		links.set(instance, await createLink(instance.port, {fault: usualLinkFault, random: Math.random}));
	}

	/** Lets an old primary step down that has reached a newer one for long enough. */
	const stepOldPrimary = (instance: InstanceStandIn) => {
		const newer = instances.find(other => other.role() === 'primary' && other.term() > instance.term() && isReachable(instance, other));
		if (newer === undefined) {
			reachesNewerSince.delete(instance);
			return;
		}

		const since = reachesNewerSince.get(instance) ?? performance.now();
		reachesNewerSince.set(instance, since);
		if (performance.now() - since >= stepDownDelayMs) {
			reachesNewerSince.delete(instance);
			instance.stepDown(newer.term());
		}
	};

	const timer = setInterval(() => {
		for (const instance of instances.filter(candidate => candidate.role() === 'primary' && !candidate.isDown())) {
			stepOldPrimary(instance);
			sendLog(instance);
		}
	}, heartbeatMs);

	for (const instance of instances) {
		list(instance);
	}

	const rollBackCommits = (promoted: InstanceStandIn) => {
		const kept = new Set(promoted.log());
		for (const [index, record] of commits.entries()) {
			if (!record.isBehindPromotion && !kept.has(record.entry)) {
				commits[index] = {...record, isRolledBack: true};
			}
		}
	};

	/** Lets the entry of an instance expire that writes it no more. */
	const startExpiry = (instance: InstanceStandIn) => setTimeout(() => {
		store.delete('servers', instance.id);
	}, expiryMs);

	/** Crashes an instance, whose entry expires after a while. */
	const stayAway = async (instance: InstanceStandIn, milliseconds: number) => {
		instance.crash();
		const expiry = startExpiry(instance);
		await sleep(milliseconds);
		clearTimeout(expiry);
	};

	const mayPromote = (id: string) => instances.some(instance => instance.id === id && !instance.isCrashed());

	return {
		name,
		isSynchronous,
		instances,
		links,
		leader() {
			const leader = findLeader();
			if (leader === undefined) {
				throw new Error(`No instance of group "${name}" knows term ${newestTerm}`);
			}

			return leader;
		},
		commits: () => commits,
		mayPromote,
		promote(id) {
			const instance = instances.find(candidate => candidate.id === id);
			const isLeading = instance?.role() === 'primary' && instance.term() === newestTerm;
			if (instance === undefined || isLeading || !mayPromote(id)) {
				return;
			}

			newestTerm++;
			rollBackCommits(instance);
			instance.promote(newestTerm);
			departing.clear();
			for (const other of instances) {
				listLater(other);
			}

			sendLog(instance);
		},
		drain(instance) {
			departing.add(instance);
			list(instance);
		},
		listAsReady(instance) {
			departing.delete(instance);
			list(instance);
		},
		setCut(instance, isCut) {
			if (isCut) {
				cut.add(instance);
			} else {
				cut.delete(instance);
			}
		},
		async cutOff(instance, milliseconds) {
			const link = links.get(instance);
			if (link === undefined) {
				throw new Error('The instances of the group have no links');
			}

			unreachable.add(instance);
			link.setFault({isPartitioned: true});
			const expiry = startExpiry(instance);
			await sleep(milliseconds);
			clearTimeout(expiry);
			unreachable.delete(instance);
			link.setFault({isPartitioned: false});
			list(instance);
		},
		async crash(instance, milliseconds) {
			await stayAway(instance, milliseconds);
			instance.comeBack(newestTerm);
			list(instance);
		},
		async startAgain(instance, milliseconds) {
			await stayAway(instance, milliseconds);
			instance.comeBackEmpty();
			born.set(instance, Date.now());
			list(instance);
		},
		close() {
			isClosed = true;
			clearInterval(timer);
			for (const link of links.values()) {
				link.close();
			}

			for (const instance of instances) {
				instance.close();
			}
		},
	};
}
