/** A statement that a client of a soak sent, and its answer. Times are milliseconds of the steady clock. */
export type SoakMessage = {
	readonly id: string;
	readonly text: string;
	readonly sentAt: number;
	/** When the answer was whole or the connection closed. */
	readonly endedAt: number;
	readonly rows: readonly string[];
	/** `COMPLETE` with the signature, or `ERROR` with the code. */
	readonly result: string;
	/** Transaction state that the answer ends with. Empty if the connection closed before. */
	readonly state: string;
};
