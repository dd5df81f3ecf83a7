import type {WorkAhead} from './work-ahead.ts';

type Options = {
	readonly count: number;
	/** Milliseconds for which each of them is served. */
	readonly serviceMs: number;
};

/** Adds a number of requests to those that are served before another one. */
export function addWork(work: WorkAhead, {count, serviceMs}: Options): WorkAhead {
	return {count: work.count + count, serviceMs: work.serviceMs + (count * serviceMs)};
}
