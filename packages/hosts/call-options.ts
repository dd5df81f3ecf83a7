import type {Socket} from 'node:net';

/** How to make calls on a connection to another host. */
export type CallOptions<Response> = {
	/** Begins to connect. */
	readonly connect: () => Socket;
	/** Decodes an answer; throws when it cannot be read. */
	readonly decode: (message: Uint8Array) => Response;
	/** Encodes a call that asks for nothing but a sign of life. */
	readonly encodePing: (id: number) => Uint8Array;
	/** Milliseconds without any message after which a connection with no open call is closed. */
	readonly idleSpan: number;
	/** Present monotonic milliseconds. */
	readonly now: () => number;
	/** Called with what is wrong when the other host breaks the protocol. */
	readonly onBroken: (reason: string) => void;
};
