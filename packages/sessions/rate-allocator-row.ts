/** Stored lease of the rate allocator of one partition; one host of the fleet holds the lease at a time. */
export type RateAllocatorRow = {
	readonly holder: string;
	/** Incarnation of the holder's process, set when the process starts. */
	readonly incarnation: number;
	/** Increases by one each time a process takes the lease. */
	readonly epoch: number;
};
