type Limits = {
	/** Units per second. */
	readonly rate: number;
	/** Units that are available at once. */
	readonly burst: number;
	/** Units that an operation costs. */
	readonly cost: number;
};

const millisecondsPerSecond = 1000;

/** Finds how many operations a workspace may run at most within a time in milliseconds. */
export function findMostDone({rate, burst, cost}: Limits, elapsed: number): number {
	return Math.floor((burst + (rate * elapsed / millisecondsPerSecond)) / cost);
}
