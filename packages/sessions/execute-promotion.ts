/* eslint-disable no-await-in-loop -- rounds run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import {comparePoints} from '@sapphirefall/decisions';
import {decodeStoreVersion} from './decode-store-version.ts';
import {chooseSuccessor} from './choose-successor.ts';
import type {FailoverDuty} from './failover-duty.ts';
import type {Fence} from './fence.ts';
import {findDutyRemaining} from './find-duty-remaining.ts';
import {findElapsed} from './find-elapsed.ts';
import {findFenceRemaining} from './find-fence-remaining.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {InstanceStatus} from './instance-status.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import {commitGroupRow} from './commit-group-row.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';
import {promotionLimitMs} from './promotion-limit-ms.ts';
import {readFleetRows} from './read-fleet-rows.ts';
import {readStatus} from './read-status.ts';
import {takeoverLimitMs} from './takeover-limit-ms.ts';
import type {Failover} from './failover.ts';
import type {Versioned} from './versioned.ts';

/** Milliseconds between two rounds of status requests to the instances. */
const roundIntervalMs = 100;

/** Milliseconds within which an instance must report its status. */
const statusTimeoutMs = 400;

/** Milliseconds for which a primary that was found silent may still answer after the other instances have. */
const silentGraceMs = 60;

/** Milliseconds within which a replica may catch up with the old primary; also the time before a promotion order is repeated. */
const catchUpLimitMs = 1500;

/** Milliseconds after which the store is read again before an order, to prove that this host still runs the failover. */
const proofLifetimeMs = 500;

/** Least milliseconds that an order needs to arrive and be answered. */
const minOrderMs = 150;

/** The new primary, and the group's row that names it as successor or as unchanged primary. */
type Promoted = {
	readonly row: Versioned<GroupRow>;
	readonly instance: string;
	readonly status: InstanceStatus;
};

/**
 * Promotes the instance with the newest log and waits until it reports itself as the primary.
 *
 * Every order needs a proof that this host still runs the failover: a recent read of the row, and the time until another
 * host may take it over.
 *
 * @returns The new primary; undefined when another host changed the group's row or may take the failover over.
 */
export async function executePromotion(fence: Fence, failover: Failover, logStep: (line: string, fields: Readonly<Record<string, unknown>>) => void): Promise<Promoted | undefined> {
	const {group, now, orderPromotion, self} = failover;
	let {row} = fence;
	if (failover.reason === 'departing' || failover.reason === 'missing') {
		await waitForCatchUp(fence, failover);
	}

	let {duty} = fence;
	let ordered: {readonly instance: string; readonly at: number} | undefined;
	/** When each promotion that may have been ordered has taken effect or never will, in milliseconds of the steady clock. */
	let settledAt = row.successor === '' ? undefined : now().steady + promotionLimitMs;
	while (findElapsed(duty.takenAt, now()) < takeoverLimitMs) {
		if (failover.findEra().era > decodeStoreVersion(fence.row.version).era) {
			logStep('The store came back from an older copy; the failover begins anew.', {});
			return undefined;
		}

		// Once a successor is stored, the old primary may no longer lead, and waiting for its status would cost time if it is silent.
		const answers = await readStatuses(failover, {
			excluded: row.successor === '' ? undefined : fence.row.primary,
			silent: failover.reason === 'silent' ? fence.row.primary : undefined,
		});
		const leader = findLeader(answers, row, {
			...failover,
			isComplete: answers.length === group.listInstances().length,
			settledAt,
		});
		if (leader !== undefined) {
			logStep('The host found the instance that leads.', {
				leader: leader.id, term: leader.status.term, previous: fence.row.primary, successor: row.successor, answers: answers.map(answer => describeStatus(answer)),
			});
			return {row, instance: leader.id, status: leader.status};
		}

		const candidates = answers.filter(({id}) => id !== fence.row.primary);
		const named = row.successor;
		const successor = candidates.find(({id}) => id === named) ?? chooseSuccessor(candidates);
		if (successor === undefined || (ordered?.instance === successor.id && now().steady - ordered.at < catchUpLimitMs)) {
			await sleep(roundIntervalMs);
			continue;
		}

		const remaining = findEarlierEraRemaining(failover);
		if (remaining > 0) {
			await sleep(remaining);
			continue;
		}

		if (row.successor !== successor.id) {
			const askedAt = now();
			const outcome = await commitGroupRow(row, {...row, successor: successor.id}, failover);
			if (outcome === undefined) {
				return undefined;
			}

			row = outcome;
			duty = {...duty, provenAt: askedAt};
		}

		const proven = await readProof(row, duty, failover);
		if (proven === 'replaced') {
			logStep('Another host changed the row of the group.', {});
			return undefined;
		}

		duty = proven;
		const findRemaining = () => findDutyRemaining(proven, now());
		if (findRemaining() < minOrderMs) {
			await sleep(roundIntervalMs);
			continue;
		}

		const taken = await orderPromotion({
			group: group.name, instance: successor.id, holder: self, token: row.token, findRemaining,
		});
		logStep('The host ordered a promotion.', {
			successor: successor.id, term: successor.status.term, position: String(successor.status.received.position), taken, answers: answers.map(answer => describeStatus(answer)),
		});
		ordered = {instance: successor.id, at: now().steady};
		if (taken === 'refused') {
			row = {...row, successor: ''};
			ordered = undefined;
			await sleep(roundIntervalMs);
		} else {
			settledAt = now().steady + promotionLimitMs;
		}
	}

	return undefined;
}

/**
 * Reads whether the store still holds the row of this failover unchanged, unless that was proven just now.
 *
 * @returns The right to order promotions, with the newest proof; `replaced` if another host changed the row.
 */
async function readProof(row: Versioned<GroupRow>, duty: FailoverDuty, {group, store, now}: Failover): Promise<FailoverDuty | 'replaced'> {
	const askedAt = now();
	if (findElapsed(duty.provenAt, askedAt) <= proofLifetimeMs) {
		return duty;
	}

	const rows = await readFleetRows(store);
	if (rows === undefined) {
		return duty;
	}

	const known = rows.groups.get(group.name);
	return known?.version === row.version && !isFromEarlierEra(known) ? {...duty, provenAt: askedAt} : 'replaced';
}

/**
 * Finds the milliseconds until leases of the era before have expired that hosts may hold whose registration the store has
 * lost; 0 or less when they have.
 */
function findEarlierEraRemaining({findEra, listRecentHosts, now}: Failover): number {
	const pending = [{leaseMs: leaseDurationMs}, ...listRecentHosts()];
	return findFenceRemaining({at: findEra().since, pending}, now().steady);
}

/** Describes the status of an instance for the log: its role, the newest term that it knows, and the end of its log. */
function describeStatus({id, status: {role, term, received}}: Answer): string {
	return `${id} ${role} ${term} ${received.term}.${received.position}`;
}

type Answer = {readonly id: string; readonly status: InstanceStatus; readonly isDeparting: boolean};

/**
 * Reads the status of all instances but one. Waits for one that was found silent only a little longer than for the others,
 * because it rarely answers again just now.
 */
async function readStatuses({group, workspace}: Failover, {excluded, silent}: {readonly excluded?: string | undefined; readonly silent?: string | undefined}): Promise<readonly Answer[]> {
	const instances = group.listInstances().filter(instance => instance.listed().id !== excluded);
	const answers: Answer[] = [];
	const read = async (instance: InstanceRuntime) => {
		const {id, isDeparting} = instance.listed();
		const status = await readStatus(instance, {workspace, timeout: statusTimeoutMs});
		if (status !== undefined) {
			answers.push({id, status, isDeparting});
		}
	};

	const others = Promise.all(instances.filter(instance => instance.listed().id !== silent).map(async instance => read(instance)));
	const rest = Promise.all(instances.filter(instance => instance.listed().id === silent).map(async instance => read(instance)));
	await others;
	await Promise.race([rest, sleep(silentGraceMs)]);
	return [...answers];
}

type LeaderOptions = Pick<Failover, 'reason' | 'mayHaveMissedPromotion' | 'now'> & {
	/** Whether all instances have answered. */
	readonly isComplete: boolean;
	/** When each promotion that may have been ordered has taken effect or never will; undefined if none was ordered. */
	readonly settledAt: number | undefined;
};

/**
 * Finds an instance that already leads and may become or stay the primary.
 *
 * Once a successor is stored, its promotion may have been ordered, so no other instance may lead. Before that, and after
 * the successor was refused, the old primary may stay if it was only silent, also as a new instance that took over its
 * log. An order before the refused one may still take effect: then all instances must answer, and only once it has.
 */
function findLeader(answers: readonly Answer[], row: GroupRow, {
	reason, mayHaveMissedPromotion, now, isComplete, settledAt,
}: LeaderOptions): Answer | undefined {
	const newestTerm = Math.max(...answers.map(({status}) => status.term));
	const leader = answers.find(({status}) => status.role === 'primary' && status.term === newestTerm);
	if (row.successor !== '') {
		return leader?.id === row.successor ? leader : undefined;
	}

	const isReasonOver = (reason === 'silent' || reason === 'abandoned' || reason === 'restored') && leader?.isDeparting === false;
	const isOnlyLeader = settledAt === undefined ? (isComplete || !mayHaveMissedPromotion) : isComplete && now().steady >= settledAt;
	return isReasonOver && isOnlyLeader ? leader : undefined;
}

/** Waits until a replica has the whole log of the old primary, if that answers; the fence ensures that the log no longer grows. */
async function waitForCatchUp(fence: Fence, failover: Failover): Promise<void> {
	const {group, workspace, now} = failover;
	const oldPrimary = group.findInstance(fence.row.primary);
	const status = oldPrimary && await readStatus(oldPrimary, {workspace, timeout: statusTimeoutMs});
	if (status?.role !== 'primary') {
		return;
	}

	const until = now().steady + catchUpLimitMs;
	while (now().steady < until) {
		const answers = await readStatuses(failover, {});
		const isCaughtUp = answers.some(answer => answer.id !== fence.row.primary && !answer.isDeparting && comparePoints(answer.status.received, status.received) >= 0);
		if (isCaughtUp) {
			return;
		}

		await sleep(roundIntervalMs);
	}
}
