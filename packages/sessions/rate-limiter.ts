import type {Permit} from './cold-instances/permit.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {RateOutcome} from './rate-outcome.ts';

/** Rate limiter of one host: its shares of the workspaces' rates, and the rate allocators whose leases it holds. */
export type RateLimiter = {
	/** Takes an operation from a workspace's rate; while the shares of the hosts are not assigned, waits for that, at most `maxWaitMs`. */
	readonly takeOperation: (workspace: string, maxWaitMs: number) => Promise<RateOutcome>;
	/** Takes a permit to send a statement to a cold instance, by its key (`createPermitKey`); undefined if none is lent in time. */
	readonly takePermit: (key: string, maxWaitMs: number) => Promise<Permit | undefined>;
	/** Answers the claims of a host if this host is the rate allocator, otherwise `notAllocator`. */
	readonly claimRates: FleetPeer['claimRates'];
	/** Registered hosts that have sent no claim for long; empty unless this host is the rate allocator of partition 0. */
	readonly listSilentHosts: () => readonly string[];
	/** Applies the fleet's rows, which name the rate allocators. */
	readonly updateFleet: (fleet: FleetRows) => void;
	/** Sends claims, or takes a vacant allocator lease, if either is due. */
	readonly step: () => void;
};
