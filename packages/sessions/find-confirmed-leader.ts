import type {GroupRow} from './group-row.ts';
import type {KnownGroup} from './known-group.ts';
import type {InstanceStatus} from './instance-status.ts';

type Options = {
	/** The group's row, written in an earlier era of the store; one of epoch 0 if the store has none. */
	readonly row: GroupRow;
	/** Status of each of the group's instances by id; undefined for one that did not answer. */
	readonly statuses: ReadonlyMap<string, InstanceStatus | undefined>;
	/** What this host knew of the group before the present era; undefined if it did not know it. */
	readonly known: KnownGroup | undefined;
	/** Whether a promotion that was ordered before the present era has taken effect by now. */
	readonly isSettled: boolean;
	/** Whether the leader of those that answer is taken, because the group has had no primary for long and no host knows better. */
	readonly isOverdue: boolean;
};

/**
 * Finds the primary of a group after the store has come back from an older copy, which may name one that was replaced in
 * the lost seconds.
 *
 * Each promotion begins a new term, so the leader of the newest term is the primary if all instances answered. If some did
 * not, one of them may lead a newer term; and while a failover runs that the host knows of or may not know of, its promotion
 * may still take effect. The leader is then confirmed only by a host that knew the group before, and if it
 * is the primary of the newest row that the host or the store knows, or the successor of a failover: a host that replaces a
 * primary tells all others the new epoch before it promotes one, so a host that never heard of a later epoch missed none.
 * An instance that leads an older term than a known row names was replaced, whatever else answers.
 *
 * @returns Undefined if the primary is not certain.
 */
export function findConfirmedLeader({
	row, statuses, known, isSettled, isOverdue,
}: Options): string | undefined {
	const answered = [...statuses].flatMap(([id, status]) => status === undefined ? [] : [{id, ...status}]);
	const newestTerm = Math.max(...answered.map(({term}) => term));
	const oldestTerm = Math.max(row.term ?? 0, known?.row.term ?? 0);
	const leader = answered.find(({role, term}) => role === 'primary' && term === newestTerm && term >= oldestTerm)?.id;
	const isComplete = answered.length === statuses.size;
	const newest = known !== undefined && isLater(known.row, row) ? known.row : row;
	const hasMissedNone = known !== undefined && known.epoch <= newest.epoch;
	const expected = newest.state === 'serving' ? newest.primary : newest.successor;
	const isStable = isSettled || (hasMissedNone && newest.state === 'serving');
	return isOverdue || (isComplete && isStable) || (hasMissedNone && leader === expected) ? leader : undefined;
}

/** Whether a row was written after another one; a failover ends under the epoch of its fence. */
function isLater(row: GroupRow, other: GroupRow): boolean {
	return row.epoch > other.epoch || (row.epoch === other.epoch && other.state === 'fencing');
}
