import type {Day} from './day.ts';

type LedgerEntry = {
	/** Seconds from the start of the day. */
	readonly from: number;
	readonly owed: number;
	readonly worth: number;
	/** What ended statements in the window, the most frequent first; a request that was tried again counts for each try. */
	readonly causes: ReadonlyArray<{readonly cause: string; readonly count: number}>;
};

/** Share of the credit below which a window is listed. */
const worthLimit = 0.9;

/** Number of causes that are listed for a window. */
const maxCauses = 5;

/** Lists the windows of a day in which much was lost, and what ended the statements in each. */
export function createLedger({windows, failed}: Day): readonly LedgerEntry[] {
	return windows
		.map((window, index) => ({window, until: windows[index + 1]?.from ?? Number.POSITIVE_INFINITY}))
		.filter(({window}) => window.worth < worthLimit)
		.map(({window, until}) => ({...window, causes: countCauses(failed.filter(({at}) => at >= window.from && at < until))}));
}

function countCauses(failed: Day['failed']): LedgerEntry['causes'] {
	const counts = new Map<string, number>();
	for (const {cause} of failed) {
		counts.set(cause, (counts.get(cause) ?? 0) + 1);
	}

	return [...counts]
		.map(([cause, count]) => ({cause, count}))
		.toSorted((a, b) => b.count - a.count)
		.slice(0, maxCauses);
}
