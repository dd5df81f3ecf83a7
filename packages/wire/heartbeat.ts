/** Heartbeat by which a channel detects that the other side has stopped answering. */
export type Heartbeat<Request> = {
	/** Creates the message of a heartbeat, with its number. */
	readonly createPing: (id: number) => Request;
	/** Interval between heartbeats. */
	readonly intervalMs: number;
	/** Time without any answer after which the channel closes. */
	readonly timeoutMs: number;
};
