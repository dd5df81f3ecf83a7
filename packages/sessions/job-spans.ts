/** Where the time of a job went, in milliseconds. */
export type JobSpans = {
	/** To the gateway and back, and waiting for the processors of both hosts. */
	readonly way: number;
	/** Waiting for a connection to the instance. */
	readonly queue: number;
	/** Opening a connection. */
	readonly open: number;
	/** Bringing the connection to the session's values. */
	readonly setup: number;
	/** From sending the work to the instance until its answer. */
	readonly instance: number;
};
