/** What decides when a waiting request is served. */
export type WaitingRequest = {
	readonly workspace: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Time in milliseconds of the steady clock after which the request waits no longer. */
	readonly deadline: number;
	/** Time in milliseconds of the steady clock by which the request should be served; its deadline if undefined. */
	readonly target?: number | undefined;
	/** When the request began to wait, in milliseconds of the steady clock. Without it, the request is not refused when it is added. */
	readonly since?: number | undefined;
};
