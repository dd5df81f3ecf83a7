/* eslint-disable no-await-in-loop -- attempts follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import type {FleetRows} from './fleet-rows.ts';
import {parseFleetRows} from './parse-fleet-rows.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';

/** Times that the store is asked. */
const attemptsLimit = 3;

/** Milliseconds between two tries. */
const roundInterval = 100;

/** Reads the fleet's rows from the store; undefined when that does not answer. */
export async function readFleetRows(store: Store, log: SessionLog): Promise<FleetRows | undefined> {
	for (let attempt = 0; attempt < attemptsLimit; attempt++) {
		const read = await store.read('fleet');
		if (read.kind === 'done') {
			return parseFleetRows(read.value.rows, log);
		}

		await sleep(roundInterval);
	}

	return undefined;
}
