/** A statement that was not served, as a host logged it. */
type FailedStatement = {
	/** Seconds from the start of the day. */
	readonly at: number;
	/** Outcome and reason without the names and figures that differ from one statement to the next. */
	readonly cause: string;
};

/** A span of a played day in which requests were counted. */
type DayWindow = {
	/** Seconds from the start of the day. */
	readonly from: number;
	/** Requests that were to be served. */
	readonly owed: number;
	/** Share of the credit that was earned, 0 to 1. */
	readonly worth: number;
};

/** Logs of all hosts and counts of a played day. */
export type Day = {
	readonly windows: readonly DayWindow[];
	readonly failed: readonly FailedStatement[];
};
