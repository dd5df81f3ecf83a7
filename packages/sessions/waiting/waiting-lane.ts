/** The requests of a workspace that wait within a priority. */
export type WaitingLane<Request> = {
	readonly workspace: string;
	/** Requests that can still meet their target, earliest target first. */
	readonly onTime: readonly Request[];
	/** Requests that miss their target, earliest deadline first. */
	readonly late: readonly Request[];
	/** Number of the round in which the workspace is served next. */
	readonly round: number;
};
