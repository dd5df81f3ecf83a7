import {findLeaseRemaining} from './find-lease-remaining.ts';
import type {Instant} from './instant.ts';

type Options = {
	/** Latest moment at which the store can have applied the fence. */
	readonly at: Instant;
	/** Hosts that may hold a lease and have not acknowledged the fence. */
	readonly pending: ReadonlySet<string>;
};

/** Milliseconds that are added to the lease duration, since the clocks of hosts run at different rates. */
const leaseMarginMs = 150;

/** Finds the milliseconds until no host can use the old primary any more; 0 or less when none can. */
export function findFenceRemaining({at, pending}: Options, now: Instant): number {
	return pending.size === 0 ? 0 : findLeaseRemaining(at, now) + leaseMarginMs;
}
