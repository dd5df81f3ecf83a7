/** A workspace's bucket on its way to its new home. The old home has stopped lending from it. */
export type BucketHandover = {
	readonly workspace: string;
	/** Version of the roster that makes the receiver the home. */
	readonly head: number;
	readonly level: number;
	readonly loans: ReadonlyArray<{
		readonly host: string;
		readonly id: number;
		readonly units: number;
		/** Milliseconds until the loan is taken for used up. */
		readonly remainingMs: number;
	}>;
};
