/* eslint-disable no-await-in-loop -- pings are sent one after the other */
import {setTimeout as sleep} from 'node:timers/promises';
import type {FleetPeer} from './fleet-peer.ts';

/** Milliseconds without an answer to any ping after which a host counts as silent. */
const silenceLimitMs = 1000;

/** Milliseconds between two pings. */
const pingIntervalMs = 100;

/** Pings a host until it answers or counts as silent. */
export async function isHostSilent(peer: Pick<FleetPeer, 'ping'> | undefined, now: () => number): Promise<boolean> {
	const until = now() + silenceLimitMs;
	while (now() < until) {
		if (await peer?.ping() === true) {
			return false;
		}

		await sleep(pingIntervalMs);
	}

	return true;
}
