import type {LoadHistory} from './load-history.ts';
import type {LoadPlan} from './load-plan.ts';
import type {RequestOutcome} from './request-outcome.ts';
import type {Violation} from './violation.ts';

/**
 * Checks the answers of a load against the rows in the databases and the freshness that each read asked for.
 *
 * Finds lost and duplicate writes, writes that ran although reported as not run, answers of other requests, reads
 * that are staler than they accept, and sessions that did not read their own writes.
 */
export function checkHistory(plan: LoadPlan, history: LoadHistory): readonly Violation[] {
	const writes = history.outcomes.filter(({request}) => request.class === 'write');
	const reads = history.outcomes.filter(outcome => outcome.observed !== undefined);
	return [
		...writes.flatMap(outcome => checkWrite(outcome, history.rows.get(outcome.request.id) ?? 0)),
		...plan.workspaces.flatMap(workspace => checkReads(
			reads.filter(({request}) => request.workspace === workspace.name),
			{
				acknowledged: writes
					.filter(({request, kind}) => request.workspace === workspace.name && kind === 'done')
					.map(({answeredAt}) => answeredAt)
					.toSorted((a, b) => a - b),
				age: workspace.age,
			},
		)),
	];
}

function checkWrite({request, kind}: RequestOutcome, rows: number): readonly Violation[] {
	if (rows > 1) {
		return [{kind: 'doubled', request: request.id, detail: `${rows} rows`}];
	}

	if (kind === 'done' && rows === 0) {
		return [{kind: 'lost', request: request.id, detail: 'acknowledged, and not in the database'}];
	}

	return kind === 'notRun' && rows > 0
		? [{kind: 'notRunRan', request: request.id, detail: 'refused as not run, and in the database'}]
		: [];
}

function checkReads(
	reads: readonly RequestOutcome[],
	options: {readonly acknowledged: readonly number[]; readonly age: number},
): readonly Violation[] {
	return reads.flatMap(({
		request, sentAt, observed, lastAcknowledgedWrite,
	}): readonly Violation[] => {
		if (observed === undefined) {
			return [];
		}

		if (observed.id !== request.id) {
			return [{kind: 'foreign', request: request.id, detail: `the answer is that of ${observed.id}`}];
		}

		if (request.class === 'session') {
			return observed.lastWrite < lastAcknowledgedWrite
				? [{kind: 'unreadWrite', request: request.id, detail: `write ${lastAcknowledgedWrite} of the session is missing`}]
				: [];
		}

		const freshAsOf = request.class === 'latest' ? sentAt : sentAt - options.age;
		const expectedRows = countBefore(options.acknowledged, freshAsOf);
		return observed.rows < expectedRows
			? [{kind: 'stale', request: request.id, detail: `${observed.rows} rows, and ${expectedRows} were acknowledged in time`}]
			: [];
	});
}

/** Counts the times before a given time in an ascending list, by binary search. */
function countBefore(times: readonly number[], before: number): number {
	let low = 0;
	let high = times.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if ((times[middle] ?? Infinity) < before) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
