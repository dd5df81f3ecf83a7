/** Durations of the phases of a job, in milliseconds. */
export type JobSpans = {
	/** Round trip to the gateway, including the wait for CPU time on both hosts; 0 for a local job. */
	readonly way: number;
	/** Wait for a pooled connection to the instance. */
	readonly queue: number;
	/** Opening a connection; 0 if an idle one was reused. */
	readonly open: number;
	/** Setting the session's variables on the connection. */
	readonly setup: number;
	/** From sending the query to the instance until its answer arrived. */
	readonly instance: number;
};
