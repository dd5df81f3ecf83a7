import {comparePoints} from '@sapphirefall/decisions';
import type {Failover} from './failover.ts';
import type {GroupRow} from './group-row.ts';
import type {ReportedStatus} from './reported-status.ts';

type Options = Pick<Failover, 'reason' | 'mayHaveMissedPromotion'> & {
	/** Whether an instance outside of the evacuated zones is still waited for. */
	readonly isSuccessorAwaited: boolean;
	/** Whether all instances have answered. */
	readonly isComplete: boolean;
	/** Newest term that the successor knew when its promotion was ordered; undefined if this host ordered none. */
	readonly orderedTerm: number | undefined;
	/** When each promotion that may have been ordered has taken effect or never will; undefined if none was ordered. */
	readonly settledAt: number | undefined;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/**
 * Finds an instance that already leads and may become or stay the primary.
 *
 * Once a successor is stored, its promotion may have been ordered, so no other instance may lead. Before that, and after
 * the successor was refused, the old primary may stay if it was only silent, also as a new instance that took over its
 * log, or if its zone is evacuated and no instance elsewhere has its whole log, and another instance may be taken that was
 * promoted without an order of this failover. An order before the refused one may still take effect: then all instances must
 * answer, and only once it has.
 *
 * A primary that was replaced goes on as one until it learns of it, and may be the only one that answers. It leads an older
 * term than the one that the row names. Terms begin anew where all instances have lost theirs; the promotion of a successor
 * then shows by the term that it has begun since it was ordered.
 */
export function findLeader(answers: readonly ReportedStatus[], row: GroupRow, {
	reason, mayHaveMissedPromotion, isSuccessorAwaited, isComplete, orderedTerm, settledAt, now,
}: Options): ReportedStatus | undefined {
	const newestTerm = Math.max(...answers.map(({status}) => status.term));
	const leader = answers.find(({status}) => status.role === 'primary' && status.term === newestTerm);
	const oldestTerm = Math.min(row.term ?? 0, (orderedTerm ?? Number.POSITIVE_INFINITY) + 1);
	if (leader === undefined || leader.status.term < oldestTerm) {
		return undefined;
	}

	if (row.successor !== '') {
		return leader.id === row.successor ? leader : undefined;
	}

	// A primary that started again without its log says nothing of what it acknowledged, but its replicas do.
	const hasLostLog = answers.some(({status: {received}}) => received.term === leader.status.term && comparePoints(received, leader.status.received) > 0);
	const isOnlyLeader = settledAt === undefined ? (isComplete || !mayHaveMissedPromotion) : isComplete && now >= settledAt;
	const mayStay = isReasonOver(reason, {leader, answers, isSuccessorAwaited});
	return mayStay && isOnlyLeader && !hasLostLog ? leader : undefined;
}

/** Whether the leader may be the primary in spite of the reason why the primary is replaced. */
function isReasonOver(reason: Options['reason'], {leader, answers, isSuccessorAwaited}: {
	readonly leader: ReportedStatus;
	readonly answers: readonly ReportedStatus[];
	readonly isSuccessorAwaited: boolean;
}): boolean {
	if (reason === 'departing' || reason === 'missing' || leader.isDeparting) {
		return false;
	}

	// The zone may have been taken back meanwhile, or no instance elsewhere answers that would keep all acknowledged commits.
	const hasSuccessor = answers.some(({isEvacuated, isDeparting, status}) => !isEvacuated && !isDeparting && comparePoints(status.received, leader.status.received) >= 0);
	return reason !== 'evacuated' || !leader.isEvacuated || !(isSuccessorAwaited || hasSuccessor);
}
