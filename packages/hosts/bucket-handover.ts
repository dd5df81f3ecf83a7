/** Token bucket of a workspace that the previous home host hands over to the new one. The previous home host no longer lends from it. */
export type BucketHandover = {
	readonly workspace: string;
	/** Version of the roster that makes the receiver the home host. */
	readonly head: number;
	/** Units in the bucket. */
	readonly level: number;
	/** Outstanding loans. */
	readonly loans: ReadonlyArray<{
		/** Process that borrowed. */
		readonly host: string;
		readonly id: number;
		readonly units: number;
		/** Milliseconds until the loan expires and counts as used up. */
		readonly remainingMs: number;
	}>;
};
