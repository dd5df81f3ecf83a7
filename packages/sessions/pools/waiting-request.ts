/** What decides when a request that waits for a connection is served. */
export type WaitingRequest = {
	readonly workspace: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Time in milliseconds of the steady clock after which the request waits no longer. */
	readonly deadline: number;
};
