import type {Fence} from './fence.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import {readFleetRows} from './read-fleet-rows.ts';
import type {Replacement} from './replacement.ts';

/** Takes the duty and raises the fence in one change; settles a lost answer by reading the rows. */
export async function commitFence(replacement: Replacement): Promise<Fence | undefined> {
	const {group, self, store, log, now} = replacement;
	const before = await readFleetRows(store, log);
	const row = before?.groups.get(group.name);
	if (before === undefined || row === undefined) {
		return undefined;
	}

	if (isTakenByOther(before, replacement)) {
		return undefined;
	}

	const {duty} = before;
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
	const after = await readFleetRows(store, log);
	const fenced = after?.groups.get(group.name);
	return after !== undefined && fenced?.holder === self && fenced.epoch === next.epoch
		? {row: fenced, hosts: [...after.hosts.values(), ...after.goneHosts.values()], at}
		: undefined;
}

/** Whether another host replaces this primary, or holds the duty for another one. */
function isTakenByOther({groups, duty}: FleetRows, {group, self, reason}: Replacement): boolean {
	if (reason === 'abandoned') {
		return false;
	}

	const row = groups.get(group.name);
	const isFencedByOther = row?.state === 'fencing' && row.holder !== self;
	const isDutyBusy = duty !== undefined && duty.holder !== self && [...groups]
		.some(([name, other]) => name !== group.name && other.state === 'fencing' && other.holder === duty.holder);
	return isFencedByOther || isDutyBusy;
}
