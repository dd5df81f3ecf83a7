import {setTimeout as sleep} from 'node:timers/promises';
import {comparePoints} from '@sapphirefall/decisions';
import {chooseSuccessor} from './choose-successor.ts';
import {findElapsed} from './find-elapsed.ts';
import {findLeaseLeft} from './find-lease-left.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import type {HostRow} from './host-row.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {InstanceStatus} from './instance-status.ts';
import type {Instant} from './instant.ts';
import type {OrderPromotion} from './order-promotion.ts';
import {parseFleetRows} from './parse-fleet-rows.ts';
import {readStatus} from './read-status.ts';
import type {ReplacementReason} from './replacement-reason.ts';
import type {SessionGroup} from './session-group.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {Versioned} from './versioned.ts';

type Options = {
	readonly group: SessionGroup;
	readonly reason: ReplacementReason;
	/** Name of this host. */
	readonly self: string;
	readonly store: Store;
	readonly orderPromotion: OrderPromotion;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Hosts that were registered lately; they may hold leases though their rows are gone. */
	readonly listRecentHosts: () => readonly HostRow[];
	/** Workspace in whose name instances are asked. */
	readonly workspace: string;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** The fence as it stands in the store. */
type Fence = {
	readonly row: Versioned<GroupRow>;
	readonly hosts: readonly HostRow[];
	/** When the store had the fence at the latest. */
	readonly at: Instant;
};

/** Milliseconds that a lease is taken to last beyond its end, since clocks run differently. */
const leaseMargin = 150;

/** Milliseconds between two rounds of questions to hosts or instances. */
const roundInterval = 100;

/** Milliseconds within which an instance must answer for its status. */
const statusTimeout = 400;

/** Milliseconds for which a successor may still receive what the old primary has, when that is known. */
const catchUpLimit = 1500;

/** Milliseconds after which a replacement is left to another host. */
const replacementLimit = 11_000;

/**
 * Replaces the primary of a group: fences the old one in the store, waits until no host uses it, promotes the
 * instance that is furthest ahead, and names it in the store.
 *
 * Every step can be taken up by another host. The order of promotion is repeated only for the same instance
 * until that is known to be gone.
 */
export async function replacePrimary(options: Options): Promise<void> {
	const {group, log, reason, now} = options;
	const startedAt = now().steady;
	const step = (line: string, fields: Readonly<Record<string, unknown>> = {}) => {
		log.info({
			group: group.name, reason, elapsed: Math.round(now().steady - startedAt), ...fields,
		}, `failover: ${line}`);
	};

	const fence = await raiseFence(options);
	if (fence === undefined) {
		step('The fence was not raised; another host may have been first.');
		return;
	}

	step('The fence is raised.', {epoch: fence.row.epoch, token: fence.row.token, hosts: fence.hosts.length});
	const silent = await waitForHosts(fence, options);
	step('No host uses the old primary any more.', {silent});
	const promoted = await promoteSuccessor(fence, options, step);
	if (promoted === undefined) {
		step('No successor could be promoted in time; another host goes on.');
		return;
	}

	const outcome = await publish(promoted.row, {...promoted.row, state: 'serving', primary: promoted.instance, successor: ''}, options);
	step('The new primary is named in the store.', {primary: promoted.instance, term: promoted.status.term, outcome});
	if (promoted.instance !== fence.row.primary) {
		void stepDownOld(fence.row.primary, promoted.status.term, options);
	}
}

/** Takes the duty and raises the fence in one change; settles a lost answer by reading the rows. */
async function raiseFence(options: Options): Promise<Fence | undefined> {
	const {group, self, store, log, now} = options;
	const before = await readRows(store, log);
	const row = before?.groups.get(group.name);
	if (before === undefined || row === undefined) {
		return undefined;
	}

	const {duty} = before;
	const isOthers = row.state === 'fencing' && row.holder !== self && options.reason !== 'abandoned';
	const isBusyElsewhere = duty !== undefined && duty.holder !== self && options.reason !== 'abandoned' && [...before.groups]
		.some(([name, other]) => name !== group.name && other.state === 'fencing' && other.holder === duty.holder);
	if (isOthers || isBusyElsewhere) {
		return undefined;
	}

	const token = duty?.holder === self ? duty.token : (duty?.token ?? 0) + 1;
	const next: GroupRow = {
		epoch: row.epoch + 1, state: 'fencing', primary: row.primary, successor: row.successor, holder: self, token,
	};
	const key = `${fleetKeys.groupPrefix}${group.name}`;
	const outcome = await store.commit({
		expected: new Map([[fleetKeys.duty, duty?.version ?? 0], [key, row.version]]),
		values: new Map([[fleetKeys.duty, JSON.stringify({holder: self, token})], [key, JSON.stringify(next)]]),
	});
	if (outcome.kind === 'conflict' || outcome.kind === 'refused') {
		return undefined;
	}

	const at = now();
	const after = await readRows(store, log);
	const fenced = after?.groups.get(group.name);
	return after !== undefined && fenced?.holder === self && fenced.epoch === next.epoch
		? {row: fenced, hosts: [...after.hosts.values(), ...after.goneHosts.values()], at}
		: undefined;
}

async function readRows(store: Store, log: SessionLog): Promise<FleetRows | undefined> {
	for (let attempt = 0; attempt < 3; attempt++) {
		const read = await store.read('fleet');
		if (read.kind === 'done') {
			return parseFleetRows(read.value.rows, log);
		}

		await sleep(roundInterval);
	}

	return undefined;
}

/**
 * Waits until every host that may hold a lease has given it up, or its lease has lapsed.
 *
 * @returns Hosts that had to be waited out.
 */
async function waitForHosts({row, hosts, at}: Fence, options: Options): Promise<readonly string[]> {
	const {group, self, now, findPeer, listRecentHosts} = options;
	group.fence(row.epoch);
	const open = new Set([...hosts, ...listRecentHosts()].map(({name}) => name));
	open.delete(self);
	while (open.size > 0 && findLeaseLeft(at, now()) + leaseMargin > 0) {
		await Promise.all([...open].map(async name => {
			const isFenced = await findPeer(name)?.fenceGroup(group.name, row.epoch);
			if (isFenced === true) {
				open.delete(name);
			}
		}));
		if (open.size > 0) {
			await sleep(roundInterval);
		}
	}

	return [...open];
}

type Promoted = {
	readonly row: Versioned<GroupRow>;
	readonly instance: string;
	readonly status: InstanceStatus;
};

/** Promotes the instance that is furthest ahead, and waits until it says that it leads. */
async function promoteSuccessor(fence: Fence, options: Options, step: (line: string, fields: Readonly<Record<string, unknown>>) => void): Promise<Promoted | undefined> {
	const {group, now, orderPromotion, self} = options;
	let {row} = fence;
	if (options.reason === 'departing' || options.reason === 'missing') {
		await waitForCatchUp(fence, options);
	}

	let ordered: {readonly instance: string; readonly at: number} | undefined;
	while (findElapsed(fence.at, now()) < replacementLimit) {
		const answers = await readStatuses(options);
		const leader = findLeader(answers, row, options);
		if (leader !== undefined) {
			return {row, instance: leader.id, status: leader.status};
		}

		const candidates = answers.filter(({id}) => id !== fence.row.primary);
		const successor = candidates.find(({id}) => id === row.successor) ?? chooseSuccessor(candidates);
		if (successor === undefined || (ordered?.instance === successor.id && now().steady - ordered.at < catchUpLimit)) {
			await sleep(roundInterval);
			continue;
		}

		if (row.successor !== successor.id) {
			const named = {...row, successor: successor.id};
			const outcome = await publish(row, named, options);
			if (outcome === undefined) {
				return undefined;
			}

			row = outcome;
		}

		const taken = await orderPromotion({
			group: group.name, instance: successor.id, holder: self, token: row.token,
		});
		step('A promotion is ordered.', {
			successor: successor.id, term: successor.status.term, position: String(successor.status.received.position), taken,
		});
		ordered = {instance: successor.id, at: now().steady};
		if (taken === 'refused') {
			row = {...row, successor: ''};
			ordered = undefined;
			await sleep(roundInterval);
		}
	}

	return undefined;
}

type Answered = {readonly id: string; readonly status: InstanceStatus; readonly isDeparting: boolean};

async function readStatuses({group, workspace}: Options): Promise<readonly Answered[]> {
	const answers = await Promise.all(group.listInstances().map(async instance => {
		const {id, isDeparting} = instance.listed();
		const status = await readStatus(instance, {workspace, timeout: statusTimeout});
		return status && {id, status, isDeparting};
	}));
	return answers.filter(answer => answer !== undefined);
}

/**
 * Finds an instance that leads already.
 *
 * Once a successor has been named, its promotion may have been ordered, so no other may lead. Before that the old
 * primary may go on if it was only silent, also as a new instance that took over its log.
 */
function findLeader(answers: readonly Answered[], row: GroupRow, {reason}: Options): Answered | undefined {
	const newestTerm = Math.max(...answers.map(({status}) => status.term));
	const leader = answers.find(({status}) => status.role === 'primary' && status.term === newestTerm);
	if (row.successor !== '') {
		return leader?.id === row.successor ? leader : undefined;
	}

	const mayStay = (reason === 'silent' || reason === 'abandoned') && leader?.isDeparting === false;
	return mayStay ? leader : undefined;
}

/** Lets the others receive what the old primary still has, if that answers; nothing is written there any more. */
async function waitForCatchUp(fence: Fence, options: Options): Promise<void> {
	const {group, workspace, now} = options;
	const old = group.findInstance(fence.row.primary);
	const status = old && await readStatus(old, {workspace, timeout: statusTimeout});
	if (status?.role !== 'primary') {
		return;
	}

	const until = now().steady + catchUpLimit;
	while (now().steady < until) {
		const answers = await readStatuses(options);
		const isCaughtUp = answers.some(answer => answer.id !== fence.row.primary && !answer.isDeparting && comparePoints(answer.status.received, status.received) >= 0);
		if (isCaughtUp) {
			return;
		}

		await sleep(roundInterval);
	}
}

/** Writes a group's row over the version that is known; settles a lost answer by reading the row. */
async function publish(from: Versioned<GroupRow>, {version: _version, ...row}: Versioned<GroupRow>, {store, group, log}: Options): Promise<Versioned<GroupRow> | undefined> {
	const key = `${fleetKeys.groupPrefix}${group.name}`;
	for (let attempt = 0; attempt < 20; attempt++) {
		await store.commit({expected: new Map([[key, from.version]]), values: new Map([[key, JSON.stringify(row)]])});
		const rows = await readRows(store, log);
		const known = rows?.groups.get(group.name);
		if (known !== undefined && known.version !== from.version) {
			const isOurs = known.epoch === row.epoch && known.holder === row.holder && known.state === row.state && known.successor === row.successor;
			return isOurs ? known : undefined;
		}

		await sleep(roundInterval);
	}

	return undefined;
}

/** Tells a replaced primary to step down, as soon as it can be reached. */
async function stepDownOld(id: string, term: number, {group, workspace, now, log}: Options): Promise<void> {
	const until = now().steady + replacementLimit;
	while (now().steady < until) {
		const instance = group.findInstance(id);
		const acquired = await instance?.pool.acquire({workspace, priority: 0, timeout: statusTimeout});
		if (instance !== undefined && acquired?.kind === 'acquired') {
			const answer = await instance.send(acquired.link, {kind: 'stepDown', term}, statusTimeout);
			instance.pool.release(acquired.link, answer.kind === 'answered' && answer.state === 'idle');
			if (answer.kind === 'answered') {
				log.info({group: group.name, instance: id, term}, 'failover: The old primary is told to step down.');
				return;
			}
		}

		await sleep(statusTimeout);
	}
}
