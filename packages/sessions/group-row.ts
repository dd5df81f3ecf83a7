/** What the store holds about the primary of a group. */
export type GroupRow = {
	/** Counts the primaries of the group; every replacement takes the next one. */
	readonly epoch: number;
	/** `fencing`: the primary must not be used any more, and a successor is being made. */
	readonly state: 'serving' | 'fencing';
	/** Instance that is the primary, or was until the fence. */
	readonly primary: string;
	/** Instance that is to follow; empty until it is known. */
	readonly successor: string;
	/** Host that makes the change. */
	readonly holder: string;
	/** Fencing token of the holder. */
	readonly token: number;
};
