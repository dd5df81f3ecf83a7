import type {ServiceAverage} from './service-average.ts';

/** Weight of the newest time in the exponential moving average. */
const newestWeight = 0.1;

/** Updates an average by a measured time in milliseconds. As long as there are few times, each of them counts the same. */
export function updateServiceAverage({serviceMs, samples}: ServiceAverage, newestMs: number): ServiceAverage {
	const weight = Math.max(newestWeight, 1 / (samples + 1));
	return {serviceMs: serviceMs + ((newestMs - serviceMs) * weight), samples: samples + 1};
}
