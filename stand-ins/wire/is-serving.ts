/* eslint-disable no-await-in-loop -- attempts run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {sendStatement} from './send-statement.ts';

type Options = {
	/** Port of the host. */
	readonly port: number;
	readonly database: string;
	readonly text: string;
	/** Milliseconds within which the statement must succeed. */
	readonly limitMs: number;
};

/** Milliseconds between two attempts. */
const retryMs = 50;

/** Repeats a statement, on a connection of its own each time, until it succeeds; returns whether it did in time. */
export async function isServing({port, database, text, limitMs}: Options): Promise<boolean> {
	const endsAt = performance.now() + limitMs;
	while (performance.now() < endsAt) {
		const answer = await Promise.race([sendStatement({port, database, text}), sleep(endsAt - performance.now(), undefined)]);
		if (answer?.result.startsWith('COMPLETE') === true) {
			return true;
		}

		await sleep(retryMs);
	}

	return false;
}
