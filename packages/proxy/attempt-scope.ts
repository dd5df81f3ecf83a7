/** Limits one attempt at a request: the signal aborts when the term ends or the deadline passes. */
export type AttemptScope = {
	readonly signal: AbortSignal;
	/** Ends the attempt without aborting the signal. */
	readonly close: () => void;
};
