/** Lets a number of holders in at a time, in the order in which they asked. */
export type Semaphore = {
	/** Waits for a place; resolves to false when none came free within the milliseconds. */
	readonly acquire: (timeout: number) => Promise<boolean>;
	readonly release: () => void;
};
