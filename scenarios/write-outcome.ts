/** A write of a `writes` step, and which of the three answers its caller got; a cut call counts as unknown. */
export type WriteOutcome = {
	readonly id: string;
	readonly answer: 'done' | 'notRun' | 'unknown';
	/** Milliseconds to the answer, and the reason when it is not done. */
	readonly detail: string;
};
