type Options = {
	/** Milliseconds between two moments at which calls end. */
	readonly intervalMs: number;
	/** Milliseconds that the call may last at the most. */
	readonly maxWaitMs: number;
	/** Steady milliseconds. */
	readonly now: number;
};

/** Part of a period below which a call would be too short to be worth it. */
const leastPart = 0.3;

/**
 * Finds how long a call may wait so that it ends with other calls of this host: what they tell is passed on once for all
 * of them.
 *
 * @returns Whole milliseconds, as calls to the store take no others.
 */
export function findAlignedWait({intervalMs: period, maxWaitMs: most, now}: Options): number {
	const left = period - (now % period);
	const aligned = left < period * leastPart ? left + period : left;
	const more = Math.floor(Math.max(0, most - aligned) / period) * period;
	return Math.ceil(aligned + more);
}
