import {createGroupChange} from './create-group-change.ts';
import {decodeStoreVersion} from './decode-store-version.ts';
import {findNextEpoch} from './find-next-epoch.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import type {Fence} from './fence.ts';
import {fleetKeys} from './fleet-keys.ts';
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
 * its answer may be lost.
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

		const outcome = await tryCommit(rows, row, failover); // eslint-disable-line no-await-in-loop -- attempts run one after another
		if (outcome !== 'conflict') {
			return outcome;
		}
	}

	return undefined;
}

async function tryCommit({era, failoverLock}: FleetRows, row: Versioned<GroupRow>, failover: Failover): Promise<Fence | 'conflict' | undefined> {
	const {group, self, incarnation, store, now} = failover;
	const isHeld = failoverLock?.holder === self && !isFromEarlierEra({...failoverLock, epoch: failoverLock.token});
	const token = isHeld ? failoverLock.token : findNextEpoch(failoverLock?.token ?? 0, era);
	const next: Versioned<GroupRow> = {
		...row, ...findNewestTerm(row, failover), epoch: findNextEpoch(row.epoch, era), state: 'fencing', holder: self, holderIncarnation: incarnation, token,
	};
	const {expected, values} = createGroupChange(group.name, next);
	const takenAt = now();
	const outcome = await store.commit({
		expected: new Map([[fleetKeys.failoverLock, failoverLock?.version ?? 0], ...expected]),
		values: new Map([[fleetKeys.failoverLock, JSON.stringify({holder: self, token})], ...values]),
	});
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
			row: fenced,
			hosts: [...after.hosts.values(), ...after.goneHosts.values()],
			at: findFenceTime(row, failover, at),
			duty: {takenAt, provenAt: answeredAt},
		}
		: undefined;
}

/** Finds the newest term that the row names or, if the store came back from an older copy, the host knew before. */
function findNewestTerm(row: Versioned<GroupRow>, {group}: Failover): Pick<GroupRow, 'term'> {
	const known = isFromEarlierEra(row) ? group.known(decodeStoreVersion(row.version).era)?.row.term : undefined;
	const term = Math.max(row.term ?? 0, known ?? 0);
	return term === 0 ? {} : {term};
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

/**
 * Checks whether another host replaces this primary, has replaced it since this host decided to, or holds the failover
 * lock while it replaces another one.
 */
function isTakenByOtherHost({groups, failoverLock}: FleetRows, {group, self, reason, epoch}: Failover): boolean {
	const row = groups.get(group.name);
	const isOtherEpoch = row?.epoch !== epoch;
	if (reason === 'abandoned' || reason === 'restored') {
		return isOtherEpoch;
	}

	const isFencing = (other: Versioned<GroupRow>) => other.state === 'fencing' && !isFromEarlierEra(other);
	const isReplaced = row?.state === 'serving' && isOtherEpoch;
	const isFencedByOther = row !== undefined && isFencing(row) && row.holder !== self;
	const isLockInUse = failoverLock !== undefined && failoverLock.holder !== self && [...groups]
		.some(([name, other]) => name !== group.name && isFencing(other) && other.holder === failoverLock.holder);
	return isReplaced || isFencedByOther || isLockInUse;
}
