import type {DutyRow} from './duty-row.ts';
import {fleetKeys} from './fleet-keys.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {GroupRow} from './group-row.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {HostRow} from './host-row.ts';
import type {SessionLog} from './session-log.ts';
import type {StoreRow} from './store-row.ts';
import type {Versioned} from './versioned.ts';

/** Parses the fleet's rows; one that cannot be read is logged and left out. */
export function parseFleetRows(rows: Iterable<StoreRow>, log: SessionLog): FleetRows {
	const groups = new Map<string, Versioned<GroupRow>>();
	const hosts = new Map<string, Versioned<HostRow>>();
	const goneHosts = new Map<string, Versioned<HostRow>>();
	let duty: Versioned<DutyRow> | undefined;
	const rateHomes = new Map<number, Versioned<RateAllocatorRow>>();
	for (const {key, value = '', version} of rows) {
		try {
			if (key === fleetKeys.duty) {
				duty = {...JSON.parse(value) as DutyRow, version};
			} else if (key.startsWith(fleetKeys.rateAllocatorPrefix)) {
				rateHomes.set(Number(key.slice(fleetKeys.rateAllocatorPrefix.length)), {...JSON.parse(value) as RateAllocatorRow, version});
			} else if (key.startsWith(fleetKeys.groupPrefix)) {
				groups.set(key.slice(fleetKeys.groupPrefix.length), {...JSON.parse(value) as GroupRow, version});
			} else if (key.startsWith(fleetKeys.hostPrefix)) {
				const row = {...JSON.parse(value) as HostRow, version};
				(row.isGone === true ? goneHosts : hosts).set(row.name, row);
			}
		} catch (error) {
			log.warn({key, version, error: (error as Error).message}, 'store: A row of the fleet cannot be read and is left out.');
		}
	}

	return {
		groups, hosts, goneHosts, duty, rateAllocators: rateHomes,
	};
}
