/** A commit in the log of a group. */
export type LogEntry = {
	readonly term: number;
	/** Position in the log, from 1. */
	readonly number: number;
	/** Written items, as pairs of name and value. */
	readonly writes: ReadonlyArray<readonly [string, string]>;
};
