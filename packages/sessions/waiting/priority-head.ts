/** The request of a priority that would be served next, and what waits behind it. */
export type PriorityHead = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Number of requests of other priorities that were served since the last one of this priority. */
	readonly passes: number;
	/** Whether the next request can still meet its target. */
	readonly isOnTime: boolean;
	/** Milliseconds for which the next request can wait and still be served by its target, or by its deadline if it is late. */
	readonly slackMs: number;
	/** Milliseconds from its arrival to its target, or to its deadline if it is late; 0 if the arrival is not known. */
	readonly patienceMs: number;
	/** Milliseconds that it takes to serve all requests of the priority that are on time. */
	readonly backlogMs: number;
};
