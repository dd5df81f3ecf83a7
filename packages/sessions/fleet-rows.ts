import type {FailoverLockRow} from './failover-lock-row.ts';
import type {GroupRow} from './group-row.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {HostRow} from './host-row.ts';
import type {Versioned} from './versioned.ts';

/** The parsed rows of the `fleet` table. */
export type FleetRows = {
	/** Era of the store in which the rows were read; see `StoreVersion`. */
	readonly era: number;
	/** Primaries of the groups, by group. */
	readonly groups: ReadonlyMap<string, Versioned<GroupRow>>;
	/** Registered hosts, by name. */
	readonly hosts: ReadonlyMap<string, Versioned<HostRow>>;
	/** Hosts that are being removed after a long silence, by name; they may still hold leases. */
	readonly goneHosts: ReadonlyMap<string, Versioned<HostRow>>;
	readonly failoverLock: Versioned<FailoverLockRow> | undefined;
	/** Hosts that allocate the rates, by partition of the workspaces; see `findRatePartition`. */
	readonly rateAllocators: ReadonlyMap<number, Versioned<RateAllocatorRow>>;
};
