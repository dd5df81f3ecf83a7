import type {AskedTable} from './asked-table.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import type {PeerTable} from './peer-table.ts';
import type {PositionOfAge} from './position-of-age.ts';
import type {RateClaim} from './rate-claim.ts';
import type {RateGrant} from './rate-grant.ts';
import type {StoreTable} from './store-table.ts';

/** What another host knows of the store and of the groups' primaries. */
type PeerKnowledge = {
	readonly tables: readonly PeerTable[];
	readonly positions: readonly PositionOfAge[];
	/** Milliseconds that the other host waited for a change before it answered; ages count from then. */
	readonly waitedMs: number;
};

/** Claims of a host to shares of the rates. */
type Claims = {
	readonly host: string;
	readonly incarnation: number;
	/** Partition of the workspaces that the claims are for. */
	readonly partition: number;
	/** Epoch of the home that is asked. */
	readonly epoch: number;
	readonly claims: readonly RateClaim[];
};

/** Shares that the home grants; undefined when the asked host is not the home. */
type Shares = {
	readonly grants: ReadonlyMap<string, RateGrant>;
	/** Milliseconds for which the shares hold, from when they were asked for. */
	readonly span: number;
};

/** What hosts ask each other. Each call is undefined when no answer came. */
export type FleetPeer = {
	/**
	 * Asks for the tables, given what is known of them.
	 *
	 * The answer comes when rows change or proofs are renewed, and after `wait` milliseconds at the latest.
	 */
	readonly readTables: (asked: ReadonlyMap<StoreTable, AskedTable>, wait: number) => Promise<PeerKnowledge | undefined>;
	readonly claimRates: (claims: Claims) => Promise<Shares | 'notHome' | undefined>;
	/** Asks the host to give up the primary of a group before an epoch; true once it has. */
	readonly fenceGroup: (group: string, epoch: number) => Promise<boolean | undefined>;
	/** Whether the host hears nothing of an instance either. */
	readonly confirmSilence: (group: string, instance: string) => Promise<boolean | undefined>;
	/** Runs a job on one of the host's connections; `notServed` when the host takes no such work now. */
	readonly runJob: (instance: {readonly group: string; readonly id: string}, job: Job) => Promise<JobAnswer | 'notServed' | undefined>;
	/** Whether the host answers at all. */
	readonly ping: () => Promise<boolean | undefined>;
};
