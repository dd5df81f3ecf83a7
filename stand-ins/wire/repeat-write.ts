/* eslint-disable no-await-in-loop -- attempts run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {openWireClient} from './open-wire-client.ts';

type Options = {
	/** Key of the caller. Defaults to `good`. */
	readonly key?: string;
	/** Milliseconds after which no further attempt is made. */
	readonly limit: number;
};

/** Milliseconds between two attempts. */
const pauseMs = 20;

/** Repeats a write at a host, each in a session of its own, until it succeeds; returns the elapsed milliseconds, or infinity at the limit. */
export async function repeatWrite(port: number, {key = 'good', limit}: Options): Promise<number> {
	const startedAt = performance.now();
	while (performance.now() - startedAt < limit) {
		const client = openWireClient(port, {database: 'latest', key});
		const {state} = await client.started;
		const answer = state === '' ? undefined : await client.query(`WRITE repeated${port} v`);
		client.close();
		if (answer?.result.startsWith('COMPLETE')) {
			return performance.now() - startedAt;
		}

		await sleep(pauseMs);
	}

	return Number.POSITIVE_INFINITY;
}
