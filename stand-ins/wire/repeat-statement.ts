/* eslint-disable no-await-in-loop -- attempts run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import type {WireAnswer} from './wire-answer.ts';

type Options = {
	/** What the result has to begin with. Defaults to `COMPLETE`. */
	readonly expected?: string;
	/** Milliseconds after which no further answer counts. */
	readonly limitMs: number;
};

/** Milliseconds between two attempts. */
const pauseMs = 50;

/**
 * Sends a statement again and again until its result begins as expected; returns the elapsed milliseconds, or infinity at
 * the limit.
 *
 * @param send Sends the statement; it is given the number of the attempt, from 0.
 */
export async function repeatStatement(send: (attempt: number) => Promise<WireAnswer>, {expected = 'COMPLETE', limitMs}: Options): Promise<number> {
	const startedAt = performance.now();
	const findElapsed = () => performance.now() - startedAt;
	const limit = sleep(limitMs, undefined, {ref: false});
	for (let attempt = 0; findElapsed() < limitMs; attempt++) {
		const answer = await Promise.race([send(attempt), limit]);
		if (answer?.result.startsWith(expected)) {
			return findElapsed();
		}

		await sleep(pauseMs);
	}

	return Number.POSITIVE_INFINITY;
}
