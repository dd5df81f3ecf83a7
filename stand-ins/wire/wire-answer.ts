/** The answer to a message of the wire protocol. */
export type WireAnswer = {
	readonly rows: readonly string[];
	/** `COMPLETE` with the signature, or `ERROR` with the code. Empty if the connection closed before a result. */
	readonly result: string;
	/** Reason that follows the code of an `ERROR`. Empty if there is none. */
	readonly reason: string;
	/** Transaction state from the `READY` message. Empty if the connection closed. */
	readonly state: string;
};
