/** What happens to the answers of an instance. */
export type AnswerFault = {
	/** Milliseconds for which an answer is held after its batch ran. */
	readonly delayMs: number;
	/** Answers that are still to be lost after their batch ran. */
	readonly remainingDrops: number;
	/** Answers that are still let through before those that are lost. */
	readonly remainingSkips: number;
	/** Whether each answer comes between one for another batch and a copy of itself. */
	readonly hasStrays: boolean;
};
