import type {TokenBucket} from '@sapphirefall/decisions';
import type {RateHolding} from './rate-holding.ts';

/** State of the rate allocator of one partition: the shares and demand of the hosts. */
export type RateAllocatorState = {
	/** Epoch of the allocator's lease; a host uses the shares of one epoch at a time. */
	readonly epoch: number;
	/** When this allocator handled its first claim of the epoch, in milliseconds of the steady clock. */
	readonly startedAt: number;
	/**
	 * Moment since when no earlier allocator has given operations from its pool, in milliseconds of the steady clock. The pool
	 * of this one is credited with that time once the shares of all hosts are known.
	 */
	readonly creditFrom: number;
	/** Workspaces whose pool has been credited. */
	readonly credited: ReadonlySet<string>;
	/** When all shares that earlier allocators granted have expired, in milliseconds of the steady clock. */
	readonly handoverEndsAt: number;
	/** When each host last sent a claim, in milliseconds of the steady clock. */
	readonly lastClaimAt: ReadonlyMap<string, number>;
	/** Pools of unassigned operations, by workspace. */
	readonly pools: ReadonlyMap<string, TokenBucket>;
	/** Holdings by host and workspace. Hosts that have not claimed in this epoch are absent. */
	readonly hosts: ReadonlyMap<string, ReadonlyMap<string, RateHolding>>;
};
