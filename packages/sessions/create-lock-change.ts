import {createGroupChange} from './create-group-change.ts';
import {findNextEpoch} from './find-next-epoch.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import type {Store} from './store.ts';
import type {Versioned} from './versioned.ts';

/**
 * Creates the change of the store that takes the failover lock and writes a group's row with its fencing token, provided that
 * both rows are unchanged. A host that held the lock last goes on with its token.
 */
export function createLockChange(group: string, row: Versioned<GroupRow>, {era, failoverLock}: Pick<FleetRows, 'era' | 'failoverLock'>): Parameters<Store['commit']>[0] {
	const {holder} = row;
	const isHeld = failoverLock?.holder === holder && !isFromEarlierEra({...failoverLock, epoch: failoverLock.token});
	const token = isHeld ? failoverLock.token : findNextEpoch(failoverLock?.token ?? 0, era);
	const {expected, values} = createGroupChange(group, {...row, token});
	return {
		expected: new Map([[fleetKeys.failoverLock, failoverLock?.version ?? 0], ...expected]),
		values: new Map([[fleetKeys.failoverLock, JSON.stringify({holder, token})], ...values]),
	};
}
