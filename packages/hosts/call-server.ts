import type {Server} from 'node:net';

/** A server of calls that other hosts make. */
export type CallServer = {
	readonly server: Server;
	/**
	 * Ends the server without losing calls: accepts no connections, reads no more calls, writes the answers that are due,
	 * and tells each connected host which call was the last that was read, so that it runs later ones elsewhere.
	 *
	 * Resolves when the other hosts have closed their connections, and after `limitMs` milliseconds at the latest. Answers
	 * that are not ready 100 ms before that are not written. A connected host takes 0.9 s of silence for a failure of the
	 * connection, so the limit should be below that.
	 */
	readonly stop: (limitMs: number) => Promise<void>;
};
