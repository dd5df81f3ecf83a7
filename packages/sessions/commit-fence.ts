import {createGroupChange} from './create-group-change.ts';
import {createLockChange} from './create-lock-change.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
import {findLockUser} from './find-lock-user.ts';
import {findNextEpoch} from './find-next-epoch.ts';
import {findOrderStart} from './find-order-start.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import {isLockHeld} from './is-lock-held.ts';
import type {Fence} from './fence.ts';
import {mergeCopies} from './log-copies/merge-copies.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import {readFleetRows} from './read-fleet-rows.ts';
import type {Failover} from './failover.ts';
import type {Instant} from './instant.ts';
import type {Versioned} from './versioned.ts';

/** Maximum number of attempts. A commit conflicts when this host fences several groups at once, since each takes the lock. */
const maxAttempts = 5;

/**
 * Takes the failover lock and sets the fence in one commit, then reads the rows to see whether the commit was applied, as
 * its answer may be lost. While another host uses the lock, only a fence that is due is set, without it; the lock is
 * needed for the promotion only.
 *
 * @returns The fence; undefined when another host is first, or the store does not answer or has no row of the group.
 */
export async function commitFence(failover: Failover): Promise<Fence | undefined> {
	const {group, store} = failover;
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const rows = await readFleetRows(store); // eslint-disable-line no-await-in-loop -- attempts run one after another
		const row = rows?.groups.get(group.name);
		if (rows === undefined || row === undefined || isTakenByOtherHost(rows, failover)) {
			return undefined;
		}

		const lockUse = await findLockUse(rows, failover); // eslint-disable-line no-await-in-loop -- attempts run one after another
		if (lockUse === 'inUse' && !isFenceDue(failover)) {
			return undefined;
		}

		const outcome = await tryCommit(rows, {row, lockUse}, failover); // eslint-disable-line no-await-in-loop -- attempts run one after another
		if (outcome !== 'conflict') {
			return outcome;
		}
	}

	return undefined;
}

/** Whether the lock is free for this host, in use by another one, or in use by `from`, which is silent. */
type LockUse = 'free' | 'inUse' | {readonly from: string};

async function findLockUse(rows: FleetRows, failover: Failover): Promise<LockUse> {
	const user = findLockUser(rows, failover);
	if (user === undefined) {
		return 'free';
	}

	return await failover.isHostSilent(user) ? {from: user} : 'inUse';
}

/** Whether the fence may be set without the lock. A primary whose failover was abandoned is fenced already. */
function isFenceDue({reason, isFenceDue}: Failover): boolean {
	return isFenceDue || reason === 'abandoned' || reason === 'restored';
}

async function tryCommit(rows: FleetRows, {row, lockUse}: {readonly row: Versioned<GroupRow>; readonly lockUse: LockUse}, failover: Failover): Promise<Fence | 'conflict' | undefined> {
	const {group, self, incarnation, store, now} = failover;
	const next: Versioned<GroupRow> = {
		...row, ...findNewestTerm(row, failover), ...findCopies(row, failover), epoch: findNextEpoch(row.epoch, rows.era), state: 'fencing', holder: self, holderIncarnation: incarnation, token: 0,
	};
	const takenAt = now();
	const outcome = await store.commit(lockUse === 'inUse' ? createGroupChange(group.name, next) : createLockChange(group.name, next, rows));
	if (outcome.kind === 'conflict') {
		return 'conflict';
	}

	if (outcome.kind === 'refused') {
		return undefined;
	}

	const answeredAt = now();
	const after = await readFleetRows(store);
	// A commit without an answer may have been applied as late as just before the rows were read.
	const at = outcome.kind === 'done' ? answeredAt : now();
	const fenced = after?.groups.get(group.name);
	return after !== undefined && fenced?.holder === self && fenced.epoch === next.epoch && !isFromEarlierEra(fenced)
		? {
			row: isLockHeld(fenced, after) ? fenced : {...fenced, token: 0},
			hosts: [...after.hosts.values(), ...after.goneHosts.values()],
			at: findFenceTime(row, failover, at),
			duty: {takenAt, provenAt: answeredAt},
			ordersFrom: findOrderStart(typeof lockUse === 'object' ? lockUse.from : undefined, rows, at.steady),
		}
		: undefined;
}

/** Finds the newest term that the row names or, if the store came back from an older copy, the host knew before. */
function findNewestTerm(row: Versioned<GroupRow>, {group}: Failover): Pick<GroupRow, 'term'> {
	const known = isFromEarlierEra(row) ? group.known(decodeStoreVersion(row.version).era)?.row.term : undefined;
	const term = Math.max(row.term ?? 0, known ?? 0);
	return term === 0 ? {} : {term};
}

/** Finds the logs that may hold acknowledged commits, if these must not be lost, so that a host which resumes the failover knows them. */
function findCopies({copies = []}: Versioned<GroupRow>, {group, isSynchronous}: Failover): Pick<GroupRow, 'copies'> {
	return isSynchronous() ? {copies: mergeCopies(copies, group.listInstances().map(instance => instance.listed()))} : {};
}

/**
 * Finds since when no host has got a lease on the primary, in milliseconds of the steady clock. While an earlier failover
 * left the row fenced, that is since this host first saw that fence. A row of an earlier era of the store has granted none
 * since this host knows the present one.
 */
function findFenceTime(row: Versioned<GroupRow>, {epoch, fencedAt, findEra}: Failover, committedAt: Instant): number {
	if (isFromEarlierEra(row)) {
		return Math.min(findEra().since, committedAt.steady);
	}

	return row.state === 'fencing' && row.epoch === epoch ? Math.min(fencedAt ?? committedAt.steady, committedAt.steady) : committedAt.steady;
}

/** Checks whether another host replaces this primary, or has replaced it since this host decided to. */
function isTakenByOtherHost({groups}: FleetRows, {group, self, reason, epoch}: Failover): boolean {
	const row = groups.get(group.name);
	const isOtherEpoch = row?.epoch !== epoch;
	if (reason === 'abandoned' || reason === 'restored') {
		return isOtherEpoch;
	}

	const isReplaced = row?.state === 'serving' && isOtherEpoch;
	const isFencedByOther = row?.state === 'fencing' && !isFromEarlierEra(row) && row.holder !== self;
	return isReplaced || isFencedByOther;
}
