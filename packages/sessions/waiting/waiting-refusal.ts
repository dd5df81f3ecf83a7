/** Why a waiting request is refused, and when its caller may come back. */
export type WaitingRefusal =
	/** Its deadline has passed. */
	| {
		readonly cause: 'expired';
		/** Milliseconds after which there is room for the request, if that is known. */
		readonly retryAfterMs?: number;
	}
	/** It would be served after its deadline. */
	| {
		readonly cause: 'overdue';
		/** Number of requests that would have been served before it. */
		readonly ahead: number;
		/** Milliseconds after which there is room for the request; undefined if the pace is not known. */
		readonly retryAfterMs: number | undefined;
	};
