/** Lets a number of holders in at a time, in the order in which they asked. */
export type Semaphore = {
	/** Waits for a place; resolves to false when none came free within the milliseconds. */
	readonly enter: (timeout: number) => Promise<boolean>;
	readonly leave: () => void;
};
