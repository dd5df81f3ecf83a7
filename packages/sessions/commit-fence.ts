import type {Fence} from './fence.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import {readFleetRows} from './read-fleet-rows.ts';
import type {Failover} from './failover.ts';

/** Takes the failoverLock and raises the fence in one change; settles a lost answer by reading the rows. */
export async function commitFence(replacement: Failover): Promise<Fence | undefined> {
	const {group, self, store, log, now} = replacement;
	const before = await readFleetRows(store, log);
	const row = before?.groups.get(group.name);
	if (before === undefined || row === undefined) {
		return undefined;
	}

	if (isTakenByOther(before, replacement)) {
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

/** Whether another host replaces this primary, or holds the failoverLock for another one. */
function isTakenByOther({groups, failoverLock}: FleetRows, {group, self, reason}: Failover): boolean {
	if (reason === 'abandoned') {
		return false;
	}

	const row = groups.get(group.name);
	const isFencedByOther = row?.state === 'fencing' && row.holder !== self;
	const isDutyBusy = failoverLock !== undefined && failoverLock.holder !== self && [...groups]
		.some(([name, other]) => name !== group.name && other.state === 'fencing' && other.holder === failoverLock.holder);
	return isFencedByOther || isDutyBusy;
}
