/* eslint-disable no-await-in-loop -- attempts run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {sendStatement} from './send-statement.ts';

type Options = {
	/** Port of the host. */
	readonly port: number;
	/** Text that the name of the item begins with. */
	readonly name: string;
	/** Milliseconds within which a write must be acknowledged. */
	readonly limitMs: number;
};

/** Milliseconds between two attempts. */
const retryMs = 50;

/** Writes items, each once, on the database with the latest state until a write is acknowledged; returns the item of that one. */
export async function writeItem({port, name, limitMs}: Options): Promise<string> {
	const until = performance.now() + limitMs;
	let last = 'none was sent';
	for (let attempt = 0; performance.now() < until; attempt++) {
		const item = `${name}-${attempt}`;
		const {result} = await sendStatement({port, database: 'latest', text: `WRITE ${item} of-${item}`});
		if (result.startsWith('COMPLETE')) {
			return item;
		}

		last = result;
		await sleep(retryMs);
	}

	throw new Error(`No write "${name}" was acknowledged for ${limitMs} ms; the last answer: ${last}`);
}
