import type {TokenBucket} from '@sapphirefall/decisions';

/** The permits that a rate allocator can lend. */
export type PermitState = {
	/** Moment since when no earlier allocator has lent permits, in milliseconds of the steady clock. */
	readonly since: number;
	/** Buckets by the key of the instance; see `createPermitKey`. One that is missing has been refilled since the beginning. */
	readonly buckets: ReadonlyMap<string, TokenBucket>;
};
