/** How long a call to another host is waited for. */
export type CallLimits = {
	/** Milliseconds within which the answer must come. */
	readonly timeout: number;
	/** Whether the connection is closed when the host shows no life meanwhile, long before the timeout. */
	readonly isWatched: boolean;
};
