/** How the instances of a group are spared while their caches are cold. */
export type WarmupLimit = {
	/** Statements per second that a cold instance may get from all hosts. */
	readonly rate: number;
	/** Milliseconds for which an instance is cold after its start, if its entry in the platform's list does not say it. */
	readonly span: number;
};
