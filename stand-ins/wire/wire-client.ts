/** The answer to a statement on the wire. */
type WireAnswer = {
	readonly rows: readonly string[];
	/** `COMPLETE` with its signature, or `ERROR` with its code; empty when the connection ended. */
	readonly result: string;
	/** State after it; empty when the connection ended. */
	readonly state: string;
};

/** A caller's session on the wire. */
export type WireClient = {
	/** The answer to the start of the session. */
	readonly started: Promise<WireAnswer>;
	readonly query: (text: string) => Promise<WireAnswer>;
	/** Sends bytes as they are, and waits for an answer. */
	readonly send: (bytes: string) => Promise<WireAnswer>;
	readonly isClosed: () => boolean;
	readonly close: () => void;
};
