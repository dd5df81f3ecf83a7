import type {TokenBucket} from '@sapphirefall/decisions';

/** State of the rate allocator of one partition: the shares and demand of the hosts. */
export type RateAllocatorState = {
	/** Epoch of the allocator's lease; a host uses the shares of one epoch at a time. */
	readonly epoch: number;
	/** Steady milliseconds at which this allocator handled its first claim of the epoch. */
	readonly startedAt: number;
	/** Steady milliseconds of the last claim, by host. */
	readonly lastClaimAt: ReadonlyMap<string, number>;
	/** Pools of unassigned operations, by workspace. */
	readonly pools: ReadonlyMap<string, TokenBucket>;
	/** Holdings by host and workspace. Hosts that have not claimed in this epoch are absent. */
	readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Holding>>;
};

/** Share and demand of one host for one workspace. */
type Holding = {
	/** Granted operations per second. */
	readonly rate: number;
	/** Steady milliseconds at which the share expires. */
	readonly expiresAt: number;
	/** Operations per second that callers request at the host. */
	readonly demand: number;
	/** Steady milliseconds at which the host reported the demand. */
	readonly claimedAt: number;
};
