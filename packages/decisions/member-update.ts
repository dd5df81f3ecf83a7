/** The liveness of a host, as one host reports it to another. */
export type MemberUpdate = {
	readonly id: string;
	/** Incarnation that the report is about; a higher one outranks the report. See `Member`. */
	readonly incarnation: number;
	readonly isAlive: boolean;
};
