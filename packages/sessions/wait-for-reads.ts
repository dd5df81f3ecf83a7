/* eslint-disable no-await-in-loop -- one turn after the other */
import {setImmediate as turn} from 'node:timers/promises';

/** Milliseconds above which a turn of the event loop may have left unread what arrived in the middle of it. */
const maxTurnMs = 20;

/** Largest number of turns, for a process that is never on time. */
const maxTurns = 10;

/**
 * Waits until what has arrived at the sockets of this process is read, as far as the operating system told of it.
 *
 * Timers of a process that was delayed are due before it reads its sockets, and a long turn of the event loop reads only
 * what had arrived at its beginning.
 *
 * @param now Returns the current time of the steady clock in milliseconds.
 */
export async function waitForReads(now: () => number): Promise<void> {
	// The first turn may end without a look at the sockets, if it is awaited in the middle of one.
	await turn();
	for (let turns = 0; turns < maxTurns; turns++) {
		const startedAt = now();
		await turn();
		if (now() - startedAt < maxTurnMs) {
			return;
		}
	}
}
