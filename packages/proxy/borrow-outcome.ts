/** Outcome of a request to borrow units. */
export type BorrowOutcome = {
	/** Whether the home host answered, or its standby host lent units. */
	readonly hasAnswer: boolean;
	/** Milliseconds after which to retry; 0 when units were lent. */
	readonly retryAfter: number;
};
