/** What the kinds of clients of a soak use their connection with. */
export type SoakTalk = {
	/** Sends statements in one packet; resolves to the transaction state after the last answer, empty if the connection closed. */
	readonly send: (...texts: readonly string[]) => Promise<string>;
	/** Sends statements in one packet and reads nothing for this time. */
	readonly sendAndReadLate: (lateMs: number, ...texts: readonly string[]) => Promise<string>;
	/** Waits for a random number of milliseconds. */
	readonly pause: (least: number, most: number) => Promise<void>;
	/** Returns a random whole number that is at least `least` and below `most`. */
	readonly pick: (least: number, most: number) => number;
	/** Returns a write of an item of its own. */
	readonly createWrite: () => string;
	/** Returns an item and its value that no other statement writes. */
	readonly createItem: () => string;
	/** Returns an item that was written lately. */
	readonly findItem: () => string;
	/** Returns whether the connection is closed or the soak is over. */
	readonly isOver: () => boolean;
};
