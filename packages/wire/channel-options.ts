import type {Heartbeat} from './heartbeat.ts';

/** Options of `openChannel`. */
export type ChannelOptions<Request, Response> = {
	/** Opens the stream; the signal is aborted when the channel closes. */
	readonly open: (requests: AsyncIterable<Request>, signal: AbortSignal) => AsyncIterable<Response>;
	/** Undefined for a channel on which every request has a timeout that closes the channel. */
	readonly heartbeat: Heartbeat<Request> | undefined;
	/** Milliseconds without a request after which the channel closes; undefined to keep it open. */
	readonly idleTimeoutMs: number | undefined;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
	/** Called once when the channel closes, whichever side closes it. */
	readonly onClosed: () => void;
};
