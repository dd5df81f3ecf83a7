/* eslint-disable no-await-in-loop -- rounds run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LogPoint} from '@sapphirefall/decisions';
import {createKnownLogs} from './log-copies/create-known-logs.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
import {describeReport} from './describe-report.ts';
import type {FailoverHold} from './failover-hold.ts';
import type {Fence} from './fence.ts';
import {findDueSuccessor} from './find-due-successor.ts';
import {findDutyRemaining} from './find-duty-remaining.ts';
import {findElapsed} from './find-elapsed.ts';
import {findLeader} from './find-leader.ts';
import type {GroupRow} from './group-row.ts';
import type {InstanceStatus} from './instance-status.ts';
import {promotionLimitMs} from './promotion-limit-ms.ts';
import type {PromotionOrder} from './promotion-order.ts';
import {readStatuses} from './read-statuses.ts';
import {roundIntervalMs} from './round-interval-ms.ts';
import {statusTimeoutMs} from './status-timeout-ms.ts';
import {takeOrderRight} from './take-order-right.ts';
import {takeoverLimitMs} from './takeover-limit-ms.ts';
import type {Failover} from './failover.ts';
import type {Versioned} from './versioned.ts';
import {waitForCatchUp} from './wait-for-catch-up.ts';

/**
 * Milliseconds for which an instance is waited for that knows the term of the old primary, when only others answer: they have
 * nothing of that term in their logs, and a promotion would lose all of it. An instance outside of the evacuated zones
 * that has the whole log is waited for as long.
 */
const betterSuccessorLimitMs = 1500;

/** Longest time in milliseconds within which an instance must report its status, when a slow one is waited for. */
const maxStatusTimeoutMs = 1600;

type Context = {
	/** Position beyond which a commit of the old primary was acknowledged; undefined if none is known of. */
	readonly newestCommit: LogPoint | undefined;
	readonly logStep: (line: string, fields: Readonly<Record<string, unknown>>) => void;
};

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
export async function executePromotion(fence: Fence, failover: Failover, {newestCommit, logStep}: Context): Promise<Promoted | undefined> {
	const {group, now, orderPromotion, self} = failover;
	let held: FailoverHold = fence;
	const isPlanned = failover.reason === 'departing' || failover.reason === 'evacuated' || failover.reason === 'missing';
	const log = isPlanned ? await waitForCatchUp(fence, failover) : undefined;
	/** A primary in an evacuated zone goes on where it is, rather than that acknowledged commits are lost. */
	const wantedLog = failover.reason === 'evacuated' ? log : undefined;
	const betterSuccessorUntil = now().steady + betterSuccessorLimitMs;
	let ordered: PromotionOrder | undefined;
	/** When each promotion that may have been ordered has taken effect or never will, in milliseconds of the steady clock. */
	let settledAt = fence.row.successor === '' ? undefined : now().steady + promotionLimitMs;
	/** Instance whose promotion was last ordered and not refused, by this host or by one that ran the failover before. */
	let promoting = fence.row.successor;
	const knownLogs = createKnownLogs(failover, fence, newestCommit);
	let awaited: readonly string[] = [];
	let timeout = statusTimeoutMs;
	while (findElapsed(held.duty.takenAt, now()) < takeoverLimitMs) {
		const {row} = held;
		if (failover.findEra().era > decodeStoreVersion(fence.row.version).era) {
			logStep('The store came back from an older copy; the failover begins anew.', {});
			return undefined;
		}

		// Once a successor is stored, the old primary may no longer lead, and waiting for its status would cost time if it is silent.
		const answers = await readStatuses(failover, {
			excluded: row.successor === '' ? undefined : fence.row.primary,
			silent: failover.reason === 'silent' ? fence.row.primary : undefined,
			timeout,
		});
		knownLogs.record(answers);
		await knownLogs.askHosts();
		const isSuccessorAwaited = now().steady < betterSuccessorUntil;
		const leader = findLeader(answers, row, {
			...failover,
			now: now().steady,
			isSuccessorAwaited,
			isComplete: group.listInstances().every(instance => answers.some(({id}) => id === instance.listed().id)),
			orderedTerm: ordered?.instance === row.successor ? ordered.term : undefined,
			settledAt,
		});
		if (leader !== undefined) {
			logStep('The host found the instance that leads.', {
				leader: leader.id, term: leader.status.term, previous: fence.row.primary, successor: row.successor, answers: answers.map(answer => describeReport(answer)),
			});
			return {row, instance: leader.id, status: leader.status};
		}

		const successor = findDueSuccessor(answers, {
			row, primary: fence.row.primary, wantedLog, isSuccessorAwaited, mayPromote: knownLogs.mayPromote, ordered, promoting, settledAt, now: now().steady,
		});
		if (successor === undefined) {
			const stillAwaited = knownLogs.listAwaited();
			if (stillAwaited.join(' ') !== awaited.join(' ')) {
				logStep('The host waits for the status of replicas that may alone have received acknowledged commits.', {
					awaited: stillAwaited, beyond: newestCommit && String(newestCommit.position), answers: answers.map(answer => describeReport(answer)),
				});
			}

			awaited = stillAwaited;
			timeout = awaited.length === 0 ? statusTimeoutMs : Math.min(2 * timeout, maxStatusTimeoutMs);
			await sleep(roundIntervalMs);
			continue;
		}

		const right = await takeOrderRight(held, successor.id, failover, logStep);
		if (right.kind === 'replaced') {
			return undefined;
		}

		held = right.held;
		if (right.kind === 'later') {
			await sleep(right.waitMs);
			continue;
		}

		const {row: orderedRow, duty} = held;
		const taken = await orderPromotion({
			group: group.name, instance: successor.id, holder: self, token: orderedRow.token, findRemaining: () => findDutyRemaining(duty, now()),
		});
		logStep('The host ordered a promotion.', {
			successor: successor.id, term: successor.status.term, position: String(successor.status.received.position), taken, answers: answers.map(answer => describeReport(answer)),
		});
		ordered = {instance: successor.id, at: now().steady, term: successor.status.term};
		if (taken === 'refused') {
			held = {...held, row: {...held.row, successor: ''}};
			ordered = undefined;
			await sleep(roundIntervalMs);
		} else {
			promoting = successor.id;
			settledAt = now().steady + promotionLimitMs;
		}
	}

	return undefined;
}
