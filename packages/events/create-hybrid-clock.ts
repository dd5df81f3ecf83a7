import type {HybridClock} from './hybrid-clock.ts';

/** Hybrid logical times in one millisecond. */
const timesPerMillisecond = 65_536n;

/**
 * Creates a hybrid logical clock (Kulkarni, Demirbas and others 2014).
 *
 * @param wallNow Present wall-clock time in milliseconds.
 */
export function createHybridClock(wallNow: () => number): HybridClock {
	let last = 0n;
	return {
		tick() {
			const wall = BigInt(Math.trunc(wallNow())) * timesPerMillisecond;
			last = wall > last ? wall : last + 1n;
			return last;
		},
		observe(time) {
			if (time > last) {
				last = time;
			}
		},
	};
}
