import {decodeStoreVersion} from './decode-store-version.ts';
import type {FailoverLockRow} from './failover-lock-row.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {HostRow} from './host-row.ts';
import type {SessionLog} from './session-log.ts';
import type {StoreRow} from './store-row.ts';
import type {Versioned} from './versioned.ts';

/** Parses the rows of the `fleet` table; logs and skips a row that is not valid JSON. */
export function parseFleetRows(rows: Iterable<StoreRow>, log: SessionLog): FleetRows {
	const groups = new Map<string, Versioned<GroupRow>>();
	const hosts = new Map<string, Versioned<HostRow>>();
	const goneHosts = new Map<string, Versioned<HostRow>>();
	let failoverLock: Versioned<FailoverLockRow> | undefined;
	const rateAllocators = new Map<number, Versioned<RateAllocatorRow>>();
	let era = 1;
	for (const {key, value = '', version} of rows) {
		era = Math.max(era, decodeStoreVersion(version).era);
		try {
			if (key === fleetKeys.failoverLock) {
				failoverLock = {...JSON.parse(value) as FailoverLockRow, version};
			} else if (key.startsWith(fleetKeys.rateAllocatorPrefix)) {
				rateAllocators.set(Number(key.slice(fleetKeys.rateAllocatorPrefix.length)), {...JSON.parse(value) as RateAllocatorRow, version});
			} else if (key.startsWith(fleetKeys.groupPrefix)) {
				groups.set(key.slice(fleetKeys.groupPrefix.length), {...JSON.parse(value) as GroupRow, version});
			} else if (key.startsWith(fleetKeys.hostPrefix)) {
				const row = {...JSON.parse(value) as HostRow, version};
				(row.isGone === true ? goneHosts : hosts).set(row.name, row);
			}
		} catch (error) {
			log.warn({key, version, error: (error as Error).message}, 'store: The host skips a row of the fleet table that it cannot parse.');
		}
	}

	return {
		era, groups, hosts, goneHosts, failoverLock, rateAllocators,
	};
}
