import type {HostRow} from './host-row.ts';

type Options = {
	/** Latest moment at which the store can have applied the fence, in milliseconds of the steady clock. */
	readonly at: number;
	/** Hosts that may hold a lease and have not acknowledged the fence. */
	readonly pending: ReadonlyArray<Pick<HostRow, 'leaseMs'>>;
};

/** Milliseconds that are added to the lease duration, since the clocks of hosts run at different rates. */
const leaseMarginMs = 150;

/** Lifetime in milliseconds of the leases of hosts whose version does not register it. */
const defaultLeaseMs = 2500;

/**
 * Finds the milliseconds until no host can use the old primary any more; 0 or less when none can.
 *
 * Each host registers how long its leases last, so that versions with other leases can run side by side. Only the steady
 * clock counts, since a jump of the wall clock must not shorten the wait. It stops while this host is suspended, which
 * makes the wait longer.
 *
 * @param now Current time in milliseconds of the steady clock.
 */
export function findFenceRemaining({at, pending}: Options, now: number): number {
	const leases = pending.map(({leaseMs}) => leaseMs ?? defaultLeaseMs);
	return leases.length === 0 ? 0 : at + Math.max(...leases) + leaseMarginMs - now;
}
