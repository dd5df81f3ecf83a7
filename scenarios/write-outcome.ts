/** Outcome of a write of a `writes` step: the answer that its caller got; a call without an answer counts as unknown. */
export type WriteOutcome = {
	readonly id: string;
	readonly answer: 'done' | 'notRun' | 'unknown';
	/** Host, time to the answer in milliseconds, and the reason if the write is not done. */
	readonly detail: string;
};
