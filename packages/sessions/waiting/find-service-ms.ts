import type {ServicePace} from './service-pace.ts';

/** Finds the milliseconds for which a request of a priority is served on average; 0 if that was not measured. */
export function findServiceMs({serviceMs = 0, findServiceMs: findOwn}: ServicePace, priority: number): number {
	return findOwn?.(priority) ?? serviceMs;
}
