/** A commit of a group of instances. */
export type LogEntry = {
	readonly term: number;
	readonly number: number;
	readonly writes: ReadonlyArray<readonly [string, string]>;
};
