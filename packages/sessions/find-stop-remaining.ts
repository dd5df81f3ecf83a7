type Stop = {
	/** Milliseconds from the stop request until the process is killed. */
	readonly gracePeriodMs: number;
	/** Milliseconds since the stop request. */
	readonly elapsedMs: number;
};

/** Part of the grace period after which the process ends by itself, whatever it waits for; the rest is for a process whose timers are late. */
const endFraction = 0.9;

/** Finds the milliseconds that a stopping host has left until its process ends. */
export function findStopRemaining({gracePeriodMs, elapsedMs}: Stop): number {
	return Math.max(0, (endFraction * gracePeriodMs) - elapsedMs);
}
