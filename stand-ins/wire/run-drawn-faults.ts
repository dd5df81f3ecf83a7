/* eslint-disable no-await-in-loop -- faults begin in sequence */
import {setTimeout as sleep} from 'node:timers/promises';

type Options = {
	/** Faults that can be drawn, each with its weight. `run` resolves once all is as before. */
	readonly faults: ReadonlyArray<{readonly weight: number; readonly run: () => Promise<void>}>;
	/** Returns a random whole number that is at least `least` and below `most`. */
	readonly pick: (least: number, most: number) => number;
	readonly isOver: () => boolean;
	/** Milliseconds between the beginnings of two faults. */
	readonly gapMs: {readonly least: number; readonly most: number};
};

/** Draws faults, one after the other, which overlap if they last for long. Resolves once the last of them has ended. */
export async function runDrawnFaults({
	faults, pick, isOver, gapMs,
}: Options): Promise<void> {
	const drawn = faults.flatMap(fault => Array.from({length: fault.weight}, () => fault));
	const running: Array<Promise<void>> = [];
	while (!isOver()) {
		const fault = drawn[pick(0, drawn.length)];
		if (fault !== undefined) {
			running.push(fault.run());
		}

		await sleep(pick(gapMs.least, gapMs.most));
	}

	await Promise.all(running);
}
