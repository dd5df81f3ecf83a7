/** Fault injected into the answers of an instance. */
export type AnswerFault = {
	/** Delay of an answer after its batch has run. */
	readonly delayMs: number;
	/** Number of answers still to be dropped after their batches have run. */
	readonly remainingDrops: number;
	/** Number of answers still to be sent before the first one that is dropped. */
	readonly remainingSkips: number;
	/** Whether an answer for another batch precedes each answer and a duplicate without results follows it. */
	readonly hasStrays: boolean;
};
