/** Counts of log lines written in the current one-second window, and dropped since the last line that reported them. */
export type LogLineBudget = {
	/** Start of the current window in milliseconds of the steady clock. */
	readonly startedAt: number;
	readonly written: number;
	readonly dropped: number;
};
