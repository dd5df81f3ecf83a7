/** For whom a connection is acquired, and how long it may take. */
export type AcquireRequest = {
	readonly workspace: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Milliseconds to wait for a connection when none is free; 0 to not wait. */
	readonly timeout: number;
	/** Milliseconds within which the work of the connection should be done; it is as urgent as its timeout if undefined. */
	readonly targetLatency?: number | undefined;
};
