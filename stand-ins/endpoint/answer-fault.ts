/** What happens to the answers of an instance. */
export type AnswerFault = {
	/** Milliseconds for which an answer is held after its batch ran. */
	readonly delay: number;
	/** Answers that are still to be lost after their batch ran. */
	readonly dropped: number;
	/** Answers that are still let through before those that are lost. */
	readonly skipped: number;
	/** Whether each answer comes between one for another batch and a copy of itself. */
	readonly hasStrays: boolean;
};
