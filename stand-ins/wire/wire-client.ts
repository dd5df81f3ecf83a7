import type {WireAnswer} from './wire-answer.ts';

/** A session of a caller over the wire protocol. */
export type WireClient = {
	/** Resolves to the answer to the `START` message. */
	readonly started: Promise<WireAnswer>;
	/** Sends a statement in a `QUERY` message and waits for the answer. */
	readonly query: (text: string) => Promise<WireAnswer>;
	/** Sends raw bytes and waits for an answer. */
	readonly send: (bytes: string) => Promise<WireAnswer>;
	/** Sends several messages in one packet; each promise resolves to the answer to one of them. */
	readonly sendTogether: (messages: readonly string[]) => ReadonlyArray<Promise<WireAnswer>>;
	/** Reads nothing that the host sends until reading is resumed. */
	readonly pauseReading: () => void;
	readonly resumeReading: () => void;
	readonly isClosed: () => boolean;
	readonly close: () => void;
};
