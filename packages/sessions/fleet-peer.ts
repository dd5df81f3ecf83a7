import type {FenceAnswer} from './fence-answer.ts';
import type {RequestedTable} from './requested-table.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import type {PrimaryPosition} from './primary-position.ts';
import type {TableUpdate} from './table-update.ts';
import type {RateClaim} from './rate-claim.ts';
import type {RateGrant} from './rate-grant.ts';
import type {StoreTable} from './store-table.ts';

/** Another host's copies of the store's tables, and the log positions that it knows of the groups' primaries. */
type PeerTables = {
	readonly tables: readonly TableUpdate[];
	readonly positions: readonly PrimaryPosition[];
	/** Milliseconds that the other host waited for a change before it answered; the ages in the answer are as of its end. */
	readonly waitedMs: number;
};

/** A host's claims to shares of the workspaces' rates. */
type Claims = {
	readonly host: string;
	/** Incarnation of the host's process, set when the process starts. */
	readonly incarnation: number;
	/** Partition that the claimed workspaces belong to. */
	readonly partition: number;
	/** Epoch of the rate allocator that is called. */
	readonly epoch: number;
	readonly claims: readonly RateClaim[];
};

/** Shares that the rate allocator grants, by workspace. */
type Shares = {
	readonly grants: ReadonlyMap<string, RateGrant>;
	/** Milliseconds for which the grants are valid, from when they were requested. */
	readonly spanMs: number;
	/** Whether the allocator knew the shares of all hosts. Until then it grants no more than what a host holds. */
	readonly isSettled: boolean;
};

/** Calls from this host to another one. Each call resolves to undefined when no answer came. */
export type FleetPeer = {
	/**
	 * Requests the rows of the tables that changed, given what this host has of each table.
	 *
	 * The other host answers when rows change or the store confirms its tables again, and after `waitMs` milliseconds at the latest.
	 */
	readonly readTables: (requested: ReadonlyMap<StoreTable, RequestedTable>, waitMs: number) => Promise<PeerTables | undefined>;
	/** Claims shares of the workspaces' rates; `notAllocator` when the other host is not the rate allocator. */
	readonly claimRates: (claims: Claims) => Promise<Shares | 'notAllocator' | undefined>;
	/** Asks the host to release its lease on the primary of a group from before an epoch; resolves once it has. */
	readonly fenceGroup: (group: string, epoch: number) => Promise<FenceAnswer | undefined>;
	/** Asks whether the host gets no answer from an instance either. */
	readonly confirmSilence: (group: string, instance: string) => Promise<boolean | undefined>;
	/**
	 * Runs a job on one of the host's connections; `notServed` when the host accepts no jobs for the instance now, and
	 * `stopping` when its process accepts no new work any more.
	 */
	readonly runJob: (instance: {readonly group: string; readonly id: string}, job: Job) => Promise<JobAnswer | 'notServed' | 'stopping' | undefined>;
	/** Checks whether the host is reachable. */
	readonly ping: () => Promise<boolean | undefined>;
};
