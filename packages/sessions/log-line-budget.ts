/** How many log lines were written in the present second, and how many were left out since the last report. */
export type LogLineBudget = {
	/** Steady milliseconds at which the present second began. */
	readonly startedAt: number;
	readonly written: number;
	readonly dropped: number;
};
