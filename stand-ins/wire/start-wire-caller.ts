/* eslint-disable no-await-in-loop -- statements of a session run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {openWireClient} from './open-wire-client.ts';

type Options = {
	readonly database: string;
	/** Milliseconds between two statements. */
	readonly pauseMs: number;
};

/** A caller of a host that sends statements until it is stopped, or until its connection ends. */
type WireCaller = {
	/** Stops the caller; returns the results of its statements, the last one `no answer` if the connection ended without one. */
	readonly stop: () => Promise<readonly string[]>;
};

/** Starts a caller that reads, and writes with each fourth statement, in one session. */
export function startWireCaller(port: number, {database, pauseMs}: Options): WireCaller {
	const results: string[] = [];
	let isStopped = false;
	const run = async () => {
		const client = openWireClient(port, {database, key: 'good'});
		await client.started;
		for (let number = 0; !isStopped; number++) { // eslint-disable-line no-unmodified-loop-condition -- `stop` sets it
			const {result, state} = await client.query(number % 4 === 0 ? `WRITE odd${port} v${number}` : `READ odd${port}`);
			results.push(state === '' ? 'no answer' : result);
			if (state === '') {
				return;
			}

			await sleep(pauseMs);
		}

		client.close();
	};

	const running = run();
	return {
		async stop() {
			isStopped = true;
			await running;
			return results;
		},
	};
}
