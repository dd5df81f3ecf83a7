/* eslint-disable no-await-in-loop -- attempts run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import {createGroupChange} from './create-group-change.ts';
import {isFromEarlierEra} from './is-from-earlier-era.ts';
import type {GroupRow} from './group-row.ts';
import {readFleetRows} from './read-fleet-rows.ts';
import type {Failover} from './failover.ts';
import type {Versioned} from './versioned.ts';

/** Maximum number of attempts to write the row. */
const maxAttempts = 20;

/** Milliseconds between two attempts. */
const retryIntervalMs = 100;

/**
 * Replaces a known version of a group's row, and reads the row after each attempt to see whether the write was applied, as
 * its answer may be lost.
 *
 * @returns The row as stored; undefined when another host wrote the row first or the store does not answer.
 */
export async function commitGroupRow(from: Versioned<GroupRow>, {version: _version, ...row}: Versioned<GroupRow>, {store, group}: Failover): Promise<Versioned<GroupRow> | undefined> {
	const change = createGroupChange(group.name, {...row, version: from.version});
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		await store.commit(change);
		const rows = await readFleetRows(store);
		const known = rows?.groups.get(group.name);
		if (known !== undefined && known.version !== from.version) {
			const isOwnWrite = known.epoch === row.epoch && known.holder === row.holder && !isFromEarlierEra(known) && known.state === row.state && known.successor === row.successor;
			return isOwnWrite ? known : undefined;
		}

		await sleep(retryIntervalMs);
	}

	return undefined;
}
