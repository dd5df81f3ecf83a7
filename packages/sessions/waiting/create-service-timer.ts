/** Measures for how long requests are served. */
type ServiceTimer = {
	/** Records that what serves a request, such as a connection, is taken for it. */
	readonly begin: (server: object) => void;
	/** Records that it is free again; ignored if its beginning was not recorded. */
	readonly end: (server: object) => void;
	/** Returns the smoothed milliseconds for which a request is served; undefined if too few were measured lately. */
	readonly findAverage: () => number | undefined;
};

/** Weight of the newest time in the exponential moving average. */
const newestWeight = 0.1;

/** Number of measured times below which the average is not used. */
const minSamples = 10;

/** Milliseconds after the last measured time for which the average is used. */
const maxAgeMs = 5000;

/**
 * Creates a timer without measured times.
 *
 * @param now Returns the current time of the steady clock in milliseconds.
 */
export function createServiceTimer(now: () => number): ServiceTimer {
	const startedAt = new WeakMap<object, number>();
	let average = 0;
	let samples = 0;
	let measuredAt = 0;

	return {
		begin(server) {
			startedAt.set(server, now());
		},
		end(server) {
			const started = startedAt.get(server);
			if (started === undefined) {
				return;
			}

			startedAt.delete(server);
			measuredAt = now();
			samples++;
			// Until the average has enough times, each of them counts the same.
			average += (measuredAt - started - average) * Math.max(newestWeight, 1 / samples);
		},
		findAverage: () => samples >= minSamples && now() - measuredAt <= maxAgeMs ? average : undefined,
	};
}
