import type {Socket} from 'node:net';

/** Options of a connection for calls to another host. */
export type CallOptions<Response> = {
	/** Starts to connect. */
	readonly connect: () => Socket;
	/** Decodes an answer; throws if the message is invalid. */
	readonly decode: (message: Uint8Array) => Response;
	/** Returns the number of the last call that the other host has read, if the message says that it reads no more; else undefined. */
	readonly findLastRead: (response: Response) => number | undefined;
	/** Encodes a ping, which is a call that the other host answers immediately. */
	readonly encodePing: (id: number) => Uint8Array;
	/** Milliseconds without data in either direction after which a connection without open calls is closed. */
	readonly idleTimeoutMs: number;
	/** Returns the current monotonic time in milliseconds. */
	readonly now: () => number;
	/** Called with the reason when the other host violates the protocol; the connection is closed then. */
	readonly onProtocolError: (reason: string) => void;
	/** Called with the bytes that were read. */
	readonly onBytes?: (bytes: number) => void;
};
