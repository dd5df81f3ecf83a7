/** Bounds one attempt of a request: its signal aborts when the term ends or the deadline passes. */
export type AttemptScope = {
	readonly signal: AbortSignal;
	/** Ends the scope without an abort. */
	readonly close: () => void;
};
