import {findLeaseRemaining} from './find-lease-remaining.ts';

type Options = {
	/** Latest moment at which the store can have applied the fence, in milliseconds of the steady clock. */
	readonly at: number;
	/** Hosts that may hold a lease and have not acknowledged the fence. */
	readonly pending: ReadonlySet<string>;
};

/** Milliseconds that are added to the lease duration, since the clocks of hosts run at different rates. */
const leaseMarginMs = 150;

/**
 * Finds the milliseconds until no host can use the old primary any more; 0 or less when none can.
 *
 * Only the steady clock counts, since a jump of the wall clock must not shorten the wait. It stops while this host is
 * suspended, which makes the wait longer.
 *
 * @param now Current time in milliseconds of the steady clock.
 */
export function findFenceRemaining({at, pending}: Options, now: number): number {
	return pending.size === 0 ? 0 : findLeaseRemaining({steady: at, wall: 0}, {steady: now, wall: 0}) + leaseMarginMs;
}
