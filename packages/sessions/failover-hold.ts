import type {FailoverDuty} from './failover-duty.ts';
import type {GroupRow} from './group-row.ts';
import type {Versioned} from './versioned.ts';

/** What a host holds in the store while it runs a failover. */
export type FailoverHold = {
	readonly row: Versioned<GroupRow>;
	/** The right to order promotions, with its latest proof; it takes the failover lock as well. */
	readonly duty: FailoverDuty;
	/** Milliseconds of the steady clock before which the host that used the failover lock may still order a promotion. */
	readonly ordersFrom: number;
};
