import {setTimeout as sleep} from 'node:timers/promises';

type Options = {
	/** When the attempt to connect began, in milliseconds of the steady clock. */
	readonly startedAt: number;
	/** Counts the other connections to the instance that are open. */
	readonly countOpen: () => number;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** Milliseconds within which an attempt to connect that ends without an answer was reset, and not given up. */
const resetLimitMs = 200;

/** Milliseconds after a reset in which the other connections break as well if the instance is lost. */
const lossDelayMs = 10;

/** Whether an attempt that has just ended was reset while other connections stayed open, so that the instance is there and has too many. */
export async function isResetAlone({startedAt, countOpen, now}: Options): Promise<boolean> {
	if (countOpen() === 0 || now() - startedAt >= resetLimitMs) {
		return false;
	}

	await sleep(lossDelayMs);
	return countOpen() > 0;
}
