/* eslint-disable no-await-in-loop -- checks run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {isReady} from './is-ready.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** The hosts that get new connections, as the platform chooses them. */
type Rotation = {
	readonly list: () => ReadonlyArray<WireDeployment['hosts'][number]>;
	readonly stop: () => void;
};

/** Milliseconds between two readiness checks of a host. */
const intervalMs = 1000;

/** Failed checks in a row after which a host gets no new connections. */
const maxMissCount = 2;

/** Checks all hosts every second, and lists those that get new connections. */
export function startRotation({hosts}: WireDeployment): Rotation {
	const missCounts = new Map<WireDeployment['hosts'][number], number>();
	const stopping = new AbortController();
	const check = async (host: WireDeployment['hosts'][number]) => {
		const isServing = await isReady(host.readyPort);
		missCounts.set(host, isServing ? 0 : (missCounts.get(host) ?? maxMissCount) + 1);
	};

	const run = async () => {
		while (!stopping.signal.aborted) {
			await Promise.all(hosts.map(async host => check(host)));
			await sleep(intervalMs);
		}
	};

	void run();
	return {
		list: () => hosts.filter(host => (missCounts.get(host) ?? maxMissCount) < maxMissCount),
		stop() {
			stopping.abort();
		},
	};
}
