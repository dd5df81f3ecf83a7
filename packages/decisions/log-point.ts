/** A place in a group's log: the term of an entry and its position. */
export type LogPoint = {
	readonly term: number;
	readonly position: bigint;
};
