/** What a host knows of the caches of an instance; times in milliseconds of the steady clock. */
export type Coldness = {
	/** Until when the instance counts as cold. */
	readonly coldUntil: number;
	/** When the process of the instance started, as its entry says. */
	readonly born: number | undefined;
	/** Counter of the entry that was applied last. */
	readonly seq: number | undefined;
	/** When the instance answered again after it was lost, so that it may have started again; undefined once its entry has told. */
	readonly suspectedAt: number | undefined;
};
