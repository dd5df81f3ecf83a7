import type {TokenBucket} from '@sapphirefall/decisions';

/** What the home of the rates knows of the hosts. */
export type RateAllocatorState = {
	/** Counts the homes; a host takes shares of one home at a time. */
	readonly epoch: number;
	/** Steady milliseconds when this home began. */
	readonly startedAt: number;
	/** Steady milliseconds of each host's last claim. */
	readonly lastClaimAt: ReadonlyMap<string, number>;
	/** Operations that the home has left over, by workspace. */
	readonly pools: ReadonlyMap<string, TokenBucket>;
	/** By host; those that have not claimed since the home began are absent. */
	readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Holding>>;
};

/** What a host holds and asks for of a workspace's rate. */
type Holding = {
	/** Operations a second that it was granted. */
	readonly rate: number;
	/** Steady milliseconds until which it may use them. */
	readonly expiresAt: number;
	/** Operations a second that its callers ask for. */
	readonly demand: number;
	/** Steady milliseconds when it said so. */
	readonly claimedAt: number;
};
