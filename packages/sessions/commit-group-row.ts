/* eslint-disable no-await-in-loop -- attempts follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import {fleetKeys} from './fleet-keys.ts';
import type {GroupRow} from './group-row.ts';
import {readFleetRows} from './read-fleet-rows.ts';
import type {Failover} from './failover.ts';
import type {Versioned} from './versioned.ts';

/** Times that the row is written. */
const attemptsLimit = 20;

/** Milliseconds between two tries. */
const roundInterval = 100;

/** Writes a group's row over the version that is known; settles a lost answer by reading the row. */
export async function commitGroupRow(from: Versioned<GroupRow>, {version: _version, ...row}: Versioned<GroupRow>, {store, group, log}: Failover): Promise<Versioned<GroupRow> | undefined> {
	const key = `${fleetKeys.groupPrefix}${group.name}`;
	for (let attempt = 0; attempt < attemptsLimit; attempt++) {
		await store.commit({expected: new Map([[key, from.version]]), values: new Map([[key, JSON.stringify(row)]])});
		const rows = await readFleetRows(store, log);
		const known = rows?.groups.get(group.name);
		if (known !== undefined && known.version !== from.version) {
			const isOurs = known.epoch === row.epoch && known.holder === row.holder && known.state === row.state && known.successor === row.successor;
			return isOurs ? known : undefined;
		}

		await sleep(roundInterval);
	}

	return undefined;
}
