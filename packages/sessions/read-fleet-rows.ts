/* eslint-disable no-await-in-loop -- attempts run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import type {FleetRows} from './fleet-rows.ts';
import {parseFleetRows} from './parse-fleet-rows.ts';
import type {Store} from './store.ts';

/** Maximum number of attempts to read the rows. */
const maxAttempts = 3;

/** Milliseconds between two attempts. */
const retryIntervalMs = 100;

/**
 * Reads the `fleet` table from the store; undefined when the store does not answer. Rows that cannot be read are left out; the
 * store cache logs each of them once.
 */
export async function readFleetRows(store: Store): Promise<FleetRows | undefined> {
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const read = await store.read('fleet');
		if (read.kind === 'done') {
			return parseFleetRows(read.value.rows, () => undefined);
		}

		await sleep(retryIntervalMs);
	}

	return undefined;
}
