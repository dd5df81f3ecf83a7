import {findLeaseRemaining} from './find-lease-remaining.ts';
import type {Instant} from './instant.ts';

/** A fence, and the hosts that may still use the old primary. */
type Raised = {
	/** When the store had the fence at the latest. */
	readonly at: Instant;
	/** Hosts that have not said that they gave the old primary up. */
	readonly open: ReadonlySet<string>;
};

/** Milliseconds that a lease is taken to last beyond its end, since clocks run differently. */
const leaseMargin = 150;

/** Finds the milliseconds until no host can use the old primary any more; 0 or less when that is so. */
export function findFenceRemaining({at, open}: Raised, now: Instant): number {
	return open.size === 0 ? 0 : findLeaseRemaining(at, now) + leaseMargin;
}
