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

/** Milliseconds after the last measured time for which they are used; the next one begins a new average. */
const maxAgeMs = 5000;

/** Maximum number of priorities whose times are kept apart. */
const maxPriorities = 32;

const emptyAverage: ServiceAverage = {serviceMs: 0, samples: 0, measuredAt: Number.NEGATIVE_INFINITY};

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

	const isRecent = ({measuredAt}: ServiceAverage): boolean => now() - measuredAt <= maxAgeMs;

	const update = (previous: ServiceAverage, serviceMs: number): ServiceAverage =>
		updateServiceAverage(isRecent(previous) ? previous : emptyAverage, {serviceMs, now: now()});

	const record = (serviceMs: number, priority: number) => {
		average = update(average, serviceMs);
		lastMs[(average.samples - 1) % sampleCount] = serviceMs;
		if (byPriority.has(priority) || byPriority.size < maxPriorities) {
			byPriority.set(priority, update(byPriority.get(priority) ?? emptyAverage, serviceMs));
		}
	};

	/** Finds the average of a priority; an old one only counts as far as it is below that of all. */
	const findPriorityMs = (priority: number): number | undefined => {
		const own = byPriority.get(priority);
		return own === undefined || isRecent(own) ? own?.serviceMs : Math.min(own.serviceMs, average.serviceMs);
	};

	return {
		begin(server, priority) {
			started.set(server, {at: now(), priority});
		},
		end(server) {
			const service = started.get(server);
			if (service !== undefined) {
				started.delete(server);
				record(now() - service.at, service.priority);
			}
		},
		findPace() {
			if (average.samples < sampleCount || !isRecent(average)) {
				return {serviceMs: undefined};
			}

			return {
				serviceMs: average.serviceMs,
				leastServiceMs: Math.min(...lastMs),
				findServiceMs: findPriorityMs,
			};
		},
	};
}
