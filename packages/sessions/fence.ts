import type {FailoverHold} from './failover-hold.ts';
import type {HostRow} from './host-row.ts';

/** A fence on a group's primary, as the store holds it; `duty` is the right as of when the fence was set. */
export type Fence = FailoverHold & {
	/** Hosts that may hold a lease on the primary. */
	readonly hosts: readonly HostRow[];
	/** Latest moment from which on no host can have got a lease on the primary, in milliseconds of the steady clock. */
	readonly at: number;
};
