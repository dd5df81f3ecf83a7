import type {ServiceAverage} from './service-average.ts';

type MeasuredService = {
	readonly serviceMs: number;
	/** When it ended, in milliseconds of the steady clock. */
	readonly now: number;
};

/** Weight of the newest time in the exponential moving average. */
const newestWeight = 0.1;

/** Largest ratio of a time to the average with which it counts. A connection that a transaction held for long says little about the others. */
const maxRatio = 8;

/** Milliseconds that the average counts as at least when a longer time is limited to its multiple. */
const minAverageMs = 1;

/** Updates an average by a measured time. As long as there are few times, each of them counts the same. */
export function updateServiceAverage({serviceMs, samples}: ServiceAverage, {serviceMs: measuredMs, now}: MeasuredService): ServiceAverage {
	const newestMs = samples === 0 ? measuredMs : Math.min(measuredMs, Math.max(serviceMs, minAverageMs) * maxRatio);
	const weight = Math.max(newestWeight, 1 / (samples + 1));
	return {serviceMs: serviceMs + ((newestMs - serviceMs) * weight), samples: samples + 1, measuredAt: now};
}
