import type {ConnectionClose} from '@sapphirefall/sessions';

/** Limits of a server of calls, and what it reports of them. */
export type CallServerLimits = {
	/** Largest number of connections. */
	readonly connections: number;
	/** Largest bytes of the messages of all connections that are not complete. */
	readonly frameBytes: number;
	/** Called with the bytes that were read. */
	readonly onBytes: (bytes: number) => void;
	/** Called with the reason when a connection is refused or closed. */
	readonly onClosed: (reason: ConnectionClose) => void;
	/** Called when the operating system gives the process no further connection. */
	readonly onAcceptError: (error: Error) => void;
};
