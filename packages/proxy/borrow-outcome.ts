/** What came of asking for units. */
export type BorrowOutcome = {
	/** Whether the home answered, or its standby lent. */
	readonly hasAnswer: boolean;
	/** Milliseconds after which to ask again; 0 when units were lent. */
	readonly retryAfter: number;
};
