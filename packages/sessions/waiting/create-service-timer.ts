import type {ServicePace} from './service-pace.ts';

/** Measures for how long requests are served. */
type ServiceTimer = {
	/** Records that what serves a request, such as a connection, is taken for it. */
	readonly begin: (server: object) => void;
	/** Records that it is free again; ignored if its beginning was not recorded. */
	readonly end: (server: object) => void;
	/** Returns the smoothed milliseconds for which a request is served, and the least of the last ones; undefined if too few were measured lately. */
	readonly findPace: () => Pick<ServicePace, 'serviceMs' | 'leastServiceMs'>;
};

/** Weight of the newest time in the exponential moving average. */
const newestWeight = 0.1;

/** Number of measured times below which they are not used, and of the last ones that are kept. */
const sampleCount = 10;

/** Milliseconds after the last measured time for which they are used. */
const maxAgeMs = 5000;

/**
 * Creates a timer without measured times.
 *
 * @param now Returns the current time of the steady clock in milliseconds.
 */
export function createServiceTimer(now: () => number): ServiceTimer {
	const startedAt = new WeakMap<object, number>();
	/** The last measured times, in milliseconds. */
	const lastMs: number[] = [];
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
			const serviceMs = measuredAt - started;
			lastMs[samples % sampleCount] = serviceMs;
			samples++;
			// Until the average has enough times, each of them counts the same.
			average += (serviceMs - average) * Math.max(newestWeight, 1 / samples);
		},
		findPace() {
			const isKnown = samples >= sampleCount && now() - measuredAt <= maxAgeMs;
			return isKnown ? {serviceMs: average, leastServiceMs: Math.min(...lastMs)} : {serviceMs: undefined};
		},
	};
}
