/** Decides whether statements may be sent to an instance that may be cold. */
export type InstanceAdmission = {
	readonly isCold: () => boolean;
	/**
	 * Admits one statement; waits at most `maxWaitMs` and the answer of the allocator. The result is called immediately before
	 * the statement is sent and says whether it may be; undefined if it may not be sent.
	 */
	readonly admit: (maxWaitMs: number) => Promise<(() => boolean) | undefined>;
};
