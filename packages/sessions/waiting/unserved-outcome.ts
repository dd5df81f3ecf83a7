/** The outcome of asking for a place or a connection at an instance when there is none. */
export type UnservedOutcome =
	/** There is none in time, or the instance refused it. */
	| {
		readonly kind: 'busy';
		/** Number of requests before it, if it was refused because it could not be served in time. */
		readonly ahead?: number;
		/** Milliseconds after which there is room for the request, if that is known. */
		readonly retryAfterMs?: number | undefined;
	}
	/** The instance cannot be reached, or answered that it has moved. Others that wait for a place are told at once. */
	| {readonly kind: 'unreachable'};
