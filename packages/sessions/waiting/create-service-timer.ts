import type {ServiceAverage} from './service-average.ts';
import type {ServicePace} from './service-pace.ts';
import {updateServiceAverage} from './update-service-average.ts';

/** Measures for how long requests are served. */
type ServiceTimer = {
	/** Records that what serves a request, such as a connection, is taken for a request of a priority. */
	readonly begin: (server: object, priority: number) => void;
	/** Records that it is free again; ignored if its beginning was not recorded. */
	readonly end: (server: object) => void;
	/** Returns the times of service; undefined if too few were measured lately. */
	readonly findPace: () => Pick<ServicePace, 'serviceMs' | 'leastServiceMs' | 'findServiceMs'>;
};

type StartedService = {readonly at: number; readonly priority: number};

/** Number of measured times below which they are not used, and of the last ones that are kept. */
const sampleCount = 10;

/** Milliseconds after the last measured time for which they are used. */
const maxAgeMs = 5000;

/** Maximum number of priorities whose times are kept apart. */
const maxPriorities = 32;

const emptyAverage: ServiceAverage = {serviceMs: 0, samples: 0};

/**
 * Creates a timer without measured times.
 *
 * @param now Returns the current time of the steady clock in milliseconds.
 */
export function createServiceTimer(now: () => number): ServiceTimer {
	const started = new WeakMap<object, StartedService>();
	/** The last measured times, in milliseconds. */
	const lastMs: number[] = [];
	const byPriority = new Map<number, ServiceAverage>();
	let average = emptyAverage;
	let measuredAt = 0;

	const record = (serviceMs: number, priority: number) => {
		lastMs[average.samples % sampleCount] = serviceMs;
		average = updateServiceAverage(average, serviceMs);
		if (byPriority.has(priority) || byPriority.size < maxPriorities) {
			byPriority.set(priority, updateServiceAverage(byPriority.get(priority) ?? emptyAverage, serviceMs));
		}
	};

	return {
		begin(server, priority) {
			started.set(server, {at: now(), priority});
		},
		end(server) {
			const service = started.get(server);
			if (service !== undefined) {
				started.delete(server);
				measuredAt = now();
				record(measuredAt - service.at, service.priority);
			}
		},
		findPace() {
			if (average.samples < sampleCount || now() - measuredAt > maxAgeMs) {
				return {serviceMs: undefined};
			}

			return {
				serviceMs: average.serviceMs,
				leastServiceMs: Math.min(...lastMs),
				findServiceMs: priority => byPriority.get(priority)?.serviceMs,
			};
		},
	};
}
