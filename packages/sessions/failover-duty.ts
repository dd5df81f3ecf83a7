import type {Instant} from './instant.ts';

/** Moments from which on the right to order promotions in a failover counts. */
export type FailoverDuty = {
	/** Moment before which no other host can have seen the fence. */
	readonly takenAt: Instant;
	/** Latest moment as of which the store is known to hold the fence unchanged. */
	readonly provenAt: Instant;
};
