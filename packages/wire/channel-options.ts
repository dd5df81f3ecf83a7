import type {Heartbeat} from './heartbeat.ts';

/** How to open a channel, how long to keep it, and what to do at its end. */
export type ChannelOptions<Request, Response> = {
	/** Opens the stream. */
	readonly open: (requests: AsyncIterable<Request>, signal: AbortSignal) => AsyncIterable<Response>;
	/** Undefined for a channel whose every request has a time limit that closes it. */
	readonly heartbeat: Heartbeat<Request> | undefined;
	/** Milliseconds without a request after which the channel is closed; undefined to keep it. */
	readonly idleTimeoutMs: number | undefined;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
	/** Called once when the channel is closed, by either side. */
	readonly onClosed: () => void;
};
