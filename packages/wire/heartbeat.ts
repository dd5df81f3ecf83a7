/** How a channel finds out that it has gone silent. */
export type Heartbeat<Request> = {
	readonly createPing: (id: number) => Request;
	/** Milliseconds between two heartbeats. */
	readonly intervalMs: number;
	/** Milliseconds without any answer after which the channel counts as silent and is closed. */
	readonly timeoutMs: number;
};
