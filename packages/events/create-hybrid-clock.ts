import {ticksPerMs} from './ticks-per-ms.ts';
import type {HybridClock} from './hybrid-clock.ts';

/**
 * Creates a hybrid logical clock, as described by Kulkarni, Demirbas and others (2014).
 *
 * @param wallNow Returns the present wall-clock time in milliseconds.
 */
export function createHybridClock(wallNow: () => number): HybridClock {
	let last = 0n;
	return {
		tick() {
			const wall = BigInt(Math.trunc(wallNow())) * ticksPerMs;
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
