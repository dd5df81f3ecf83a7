/** A counting semaphore that grants permits in the order of requests. */
export type Semaphore = {
	/** Waits for a permit. Resolves to `false` if none becomes free within the timeout. */
	readonly acquire: (timeoutMs: number) => Promise<boolean>;
	readonly release: () => void;
};
