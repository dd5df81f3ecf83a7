/** Largest bytes of memory of the buffers of a host that callers fill, for all sessions together. */
export type MemoryLimits = {
	/** Values and prepared statements of sessions. */
	readonly valueBytes: number;
	/** Messages that were read and are not answered, and messages that are not complete. */
	readonly inputBytes: number;
	/** Answers that callers have not taken. */
	readonly answerBytes: number;
	/** Large statements that run, of own callers and for other hosts. */
	readonly statementBytes: number;
	/** Messages of other hosts that are not complete. */
	readonly frameBytes: number;
};
