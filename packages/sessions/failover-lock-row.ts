/** Which host may order promotions; one at a time over the whole fleet. */
export type FailoverLockRow = {
	readonly holder: string;
	/** Grows by one with each new holder. */
	readonly token: number;
};
