/** Which host shares out the rates; one at a time over the fleet. */
export type RateAllocatorRow = {
	readonly holder: string;
	/** Start of the holder's process. */
	readonly incarnation: number;
	/** Counts the homes. */
	readonly epoch: number;
};
