import type {LogLineBudget} from './log-line-budget.ts';

type Line = {
	/** Debug lines have the lower limit, so they are dropped first. */
	readonly isDebug: boolean;
	/** Whether the output has too many bytes buffered, because its reader is slow. */
	readonly isOutputFull: boolean;
	/** Current time in milliseconds of the steady clock. */
	readonly now: number;
};

/** Limits on the lines per second for debug lines, and for other lines; both count all written lines. */
const maxLinesPerSecond = {debug: 20, all: 200};

/** Length of the rate-limit window in milliseconds. */
const windowMs = 1000;

/** Decides whether a log line is written; limits the log volume under load and never lets a full output block the process. */
export function admitLogLine(budget: LogLineBudget, {isDebug, isOutputFull, now}: Line): {readonly budget: LogLineBudget; readonly isWritten: boolean} {
	const current = now - budget.startedAt < windowMs ? budget : {...budget, startedAt: now, written: 0};
	const limit = isDebug ? maxLinesPerSecond.debug : maxLinesPerSecond.all;
	const isWritten = !isOutputFull && current.written < limit;
	return {
		budget: isWritten ? {...current, written: current.written + 1} : {...current, dropped: current.dropped + 1},
		isWritten,
	};
}
