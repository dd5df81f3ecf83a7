import type {FailoverDuty} from './failover-duty.ts';
import {findElapsed} from './find-elapsed.ts';
import {findLeaseRemaining} from './find-lease-remaining.ts';
import type {Instant} from './instant.ts';
import {takeoverLimitMs} from './takeover-limit-ms.ts';

/** Milliseconds before a takeover from which on no order may be on its way, since timers are late and clocks differ. */
const takeoverMarginMs = 500;

/**
 * Finds the milliseconds for which a host may order promotions in a failover, including the time that an order takes to
 * arrive; 0 or less when it may not.
 *
 * The right ends before another host may take the failover over. It also ends with a lease on the stored fence, since hosts
 * wait that long before they order a promotion if the store has lost the fence. Time in which the host was suspended
 * counts.
 */
export function findDutyRemaining({takenAt, provenAt}: FailoverDuty, now: Instant): number {
	return Math.min(takeoverLimitMs - takeoverMarginMs - findElapsed(takenAt, now), findLeaseRemaining(provenAt, now));
}
