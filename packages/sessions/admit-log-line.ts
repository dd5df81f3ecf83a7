import type {LogLineBudget} from './log-line-budget.ts';

type Line = {
	/** Ordinary lines are left out first. */
	readonly isOrdinary: boolean;
	/** Whether the output still holds lines that nobody has read. */
	readonly isBlocked: boolean;
	/** Steady milliseconds. */
	readonly now: number;
};

/** Lines a second of ordinary events, and of all. */
const limits = {ordinary: 20, all: 200};

/** Milliseconds for which the limits count. */
const span = 1000;

/** Decides whether a log line is written, so that logs stay bounded under load and never hold the process up. */
export function admitLogLine(budget: LogLineBudget, {isOrdinary, isBlocked, now}: Line): {readonly budget: LogLineBudget; readonly isWritten: boolean} {
	const present = now - budget.startedAt < span ? budget : {...budget, startedAt: now, written: 0};
	const limit = isOrdinary ? limits.ordinary : limits.all;
	const isWritten = !isBlocked && present.written < limit;
	return {
		budget: isWritten ? {...present, written: present.written + 1} : {...present, dropped: present.dropped + 1},
		isWritten,
	};
}
