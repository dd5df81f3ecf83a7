import {createRandom} from '../cluster/create-random.ts';

/** First numbers of a generator that are left out, since those of small seeds resemble each other. */
const skippedNumberCount = 20;

/** Creates a generator of random numbers from 0 to 1 that differ from the first one on, also between small seeds. */
export function createMixedRandom(seed: number): () => number {
	const random = createRandom(seed);
	for (let skipped = 0; skipped < skippedNumberCount; skipped++) {
		random();
	}

	return random;
}
