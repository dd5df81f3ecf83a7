import {maxPasses} from './max-passes.ts';
import type {WorkAhead} from './work-ahead.ts';

type Options = {
	/** Requests of more urgent priorities that wait. */
	readonly urgent: WorkAhead;
	/** Number of requests of the own priority that are served before. */
	readonly ownCount: number;
};

/** Finds the part of the more urgent requests that is served before a request, whose priority is passed over a bounded number of times. */
export function findPassingWork({urgent, ownCount}: Options): WorkAhead {
	const count = Math.min(urgent.count, (ownCount + 1) * maxPasses);
	return {count, serviceMs: urgent.count === 0 ? 0 : urgent.serviceMs * count / urgent.count};
}
