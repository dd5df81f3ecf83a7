import type {Fence} from './fence.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import {readFleetRows} from './read-fleet-rows.ts';
import type {Failover} from './failover.ts';

/**
 * Takes the failover lock and sets the fence in one commit, then reads the rows to see whether the commit was applied, as
 * its answer may be lost.
 *
 * @returns The fence; undefined when another host is first, or the store does not answer or has no row of the group.
 */
export async function commitFence(failover: Failover): Promise<Fence | undefined> {
	const {group, self, store, log, now} = failover;
	const before = await readFleetRows(store, log);
	const row = before?.groups.get(group.name);
	if (before === undefined || row === undefined) {
		return undefined;
	}

	if (isTakenByOtherHost(before, failover)) {
		return undefined;
	}

	const {failoverLock} = before;
	const token = failoverLock?.holder === self ? failoverLock.token : (failoverLock?.token ?? 0) + 1;
	const next: GroupRow = {
		epoch: row.epoch + 1, state: 'fencing', primary: row.primary, successor: row.successor, holder: self, token,
	};
	const key = `${fleetKeys.groupPrefix}${group.name}`;
	const outcome = await store.commit({
		expected: new Map([[fleetKeys.failoverLock, failoverLock?.version ?? 0], [key, row.version]]),
		values: new Map([[fleetKeys.failoverLock, JSON.stringify({holder: self, token})], [key, JSON.stringify(next)]]),
	});
	if (outcome.kind === 'conflict' || outcome.kind === 'refused') {
		return undefined;
	}

	const at = now();
	const after = await readFleetRows(store, log);
	const fenced = after?.groups.get(group.name);
	return after !== undefined && fenced?.holder === self && fenced.epoch === next.epoch
		? {row: fenced, hosts: [...after.hosts.values(), ...after.goneHosts.values()], at}
		: undefined;
}

/** Checks whether another host replaces this primary, or holds the failover lock while it replaces another one. */
function isTakenByOtherHost({groups, failoverLock}: FleetRows, {group, self, reason}: Failover): boolean {
	if (reason === 'abandoned') {
		return false;
	}

	const row = groups.get(group.name);
	const isFencedByOther = row?.state === 'fencing' && row.holder !== self;
	const isLockInUse = failoverLock !== undefined && failoverLock.holder !== self && [...groups]
		.some(([name, other]) => name !== group.name && other.state === 'fencing' && other.holder === failoverLock.holder);
	return isFencedByOther || isLockInUse;
}
