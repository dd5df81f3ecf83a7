/** How late this process ran what was due, so that times that it took can be judged. */
type Lateness = {
	/** Returns the most milliseconds by which a timer was late between two moments of the steady clock. */
	readonly findLongest: (from: number, to: number) => number;
	readonly stop: () => void;
};

const intervalMs = 10;

/** Lateness in milliseconds below which it is not recorded. */
const minLatenessMs = 10;

/** Follows how late this process runs its timers. */
export function followLateness(): Lateness {
	const late: Array<{readonly at: number; readonly byMs: number}> = [];
	let lastAt = performance.now();
	const timer = setInterval(() => {
		const at = performance.now();
		const byMs = at - lastAt - intervalMs;
		lastAt = at;
		if (byMs > minLatenessMs) {
			late.push({at, byMs});
		}
	}, intervalMs);
	return {
		findLongest: (from, to) => Math.max(0, ...late.filter(({at, byMs}) => at >= from && at - byMs <= to).map(({byMs}) => byMs)),
		stop() {
			clearInterval(timer);
		},
	};
}
