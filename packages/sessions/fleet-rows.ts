import type {FailoverLockRow} from './failover-lock-row.ts';
import type {GroupRow} from './group-row.ts';
import type {HomeRow} from './home-row.ts';
import type {HostRow} from './host-row.ts';
import type {Versioned} from './versioned.ts';

/** The fleet's own rows. */
export type FleetRows = {
	readonly groups: ReadonlyMap<string, Versioned<GroupRow>>;
	/** Hosts in use, by name. */
	readonly hosts: ReadonlyMap<string, Versioned<HostRow>>;
	/** Hosts that were not heard of for long; they may hold leases for a little while. */
	readonly goneHosts: ReadonlyMap<string, Versioned<HostRow>>;
	readonly failoverLock: Versioned<FailoverLockRow> | undefined;
	/** Hosts that share out the rates, by partition of the workspaces; see `findRatePartition`. */
	readonly rateHomes: ReadonlyMap<number, Versioned<HomeRow>>;
};
