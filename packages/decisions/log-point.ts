/** Identifies an entry of a group's log by term and position. */
export type LogPoint = {
	readonly term: number;
	readonly position: bigint;
};
