/* eslint-disable no-await-in-loop -- looks run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {readGroupRow} from './read-group-row.ts';
import type {StoreStandIn} from './store-stand-in.ts';

type Options = {
	readonly group: string;
	/** The instance that is replaced. */
	readonly primary: string;
	/** Milliseconds for which it is waited. */
	readonly limitMs: number;
};

/** Milliseconds between two looks. */
const pollMs = 5;

/** Waits until the store names another primary of a group and no failover of it is running; returns the primary, or undefined if there was none in time. */
export async function waitForOtherPrimary(store: Pick<StoreStandIn, 'read'>, {group, primary, limitMs}: Options): Promise<string | undefined> {
	const until = performance.now() + limitMs;
	while (performance.now() < until) {
		const row = readGroupRow(store, group);
		if (row?.state === 'serving' && row.primary !== primary) {
			return row.primary;
		}

		await sleep(pollMs);
	}

	return undefined;
}
