/* eslint-disable no-await-in-loop -- statements of a session run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {openWireClient} from './open-wire-client.ts';
import type {WireHost} from './wire-host.ts';

type Options = {
	readonly databases: readonly string[];
	/** Milliseconds between two statements of a caller. */
	readonly pauseMs: number;
};

/** Callers of hosts that send statements until they are stopped, or until their connections end. */
type WireCallers = {
	/** Stops the callers; returns the results of their statements, `no answer` for one whose connection ended without one. */
	readonly stop: () => Promise<readonly string[]>;
};

/** Starts a caller of each database at each host, which reads, and writes with each fourth statement, in one session. */
export function startWireCallers(hosts: ReadonlyArray<Pick<WireHost, 'port'>>, {databases, pauseMs}: Options): WireCallers {
	let isStopped = false;
	const callers = hosts.flatMap(({port}) => databases.map(async database => runCaller(port, {database, pauseMs, isStopped: () => isStopped})));
	return {
		async stop() {
			isStopped = true;
			const results = await Promise.all(callers);
			return results.flat();
		},
	};
}

type CallerOptions = {readonly database: string; readonly pauseMs: number; readonly isStopped: () => boolean};

/** Sends statements until the caller is stopped, or until its connection ends; returns their results. */
async function runCaller(port: number, {database, pauseMs, isStopped}: CallerOptions): Promise<readonly string[]> {
	const results: string[] = [];
	const client = openWireClient(port, {database, key: 'good'});
	await client.started;
	for (let number = 0; !isStopped(); number++) {
		const {result, state} = await client.query(number % 4 === 0 ? `WRITE odd${port} v${number}` : `READ odd${port}`);
		results.push(state === '' ? 'no answer' : result);
		if (state === '') {
			return results;
		}

		await sleep(pauseMs);
	}

	client.close();
	return results;
}
