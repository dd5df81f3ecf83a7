import type {Instant} from './instant.ts';

/** A host's share of a workspace's rate. */
export type ShareState = {
	/** Operations per second that the rate allocator granted. */
	readonly rate: number;
	/** When the host requested the share. */
	readonly requestedAt: Instant;
	/** Lifetime in milliseconds, counted from `requestedAt`; 0 before the first grant. */
	readonly spanMs: number;
	/** Operations that may run now; may be fractional. */
	readonly tokens: number;
	/** When `tokens` was last updated, in milliseconds of the steady clock. */
	readonly refilledAt: number;
	/** Operations per second that callers request, exponentially smoothed. */
	readonly demand: number;
	/** When `demand` was last updated, in milliseconds of the steady clock. */
	readonly demandAt: number;
};
