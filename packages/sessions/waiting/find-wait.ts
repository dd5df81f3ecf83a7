import {findServiceMs} from './find-service-ms.ts';
import type {ServicePace} from './service-pace.ts';
import type {WorkAhead} from './work-ahead.ts';

type Options = {
	readonly pace: ServicePace;
	readonly ahead: WorkAhead;
	readonly priority: number;
};

/** Predicts the milliseconds until a request is served; undefined if the pace was not measured. */
export function findWait({pace, ahead, priority}: Options): number | undefined {
	const {serviceMs, limit} = pace;
	return serviceMs === undefined || limit === undefined
		? undefined
		: (ahead.serviceMs + findServiceMs(pace, priority)) / Math.max(1, limit);
}
