type Options = {
	/** Milliseconds between two points in time at which calls end. */
	readonly intervalMs: number;
	/** Maximum duration of the call in milliseconds. */
	readonly maxWaitMs: number;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/** Fraction of an interval below which a call is too short to be worth its cost. */
const minFraction = 0.3;

/**
 * Finds how long a call to the store may wait so that it ends together with the other calls of this host, whose results
 * are then passed on to other hosts at once.
 *
 * @returns Whole milliseconds, as the store accepts no fractions.
 */
export function findAlignedWait({intervalMs, maxWaitMs, now}: Options): number {
	const remaining = intervalMs - (now % intervalMs);
	const aligned = remaining < intervalMs * minFraction ? remaining + intervalMs : remaining;
	const additional = Math.floor(Math.max(0, maxWaitMs - aligned) / intervalMs) * intervalMs;
	return Math.ceil(aligned + additional);
}
