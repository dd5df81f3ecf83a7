import type {RegionMap} from './regions/region-map.ts';
import type {WarmupBound} from './cold-instances/warmup-bound.ts';
import type {MachineLimits} from './admission/machine-limits.ts';
import type {RateBound} from './rate-bound.ts';

/** An address to listen on or to connect to. */
type Address = {
	readonly host: string;
	readonly port: number;
};

/** The boot settings of a host: its identity, the addresses that it uses and the bounds that it must respect. */
export type HostProfile = {
	readonly name: string;
	/** Availability zone. */
	readonly zone: string;
	readonly regions: RegionMap;
	/** Whether the whole fleet starts for the first time; false when a process starts later. */
	readonly isFirstStart: boolean;
	readonly listen: {
		/** Connections of callers. */
		readonly callers: Address;
		/** The platform's readiness check. */
		readonly readiness: Address;
		/** Calls of other hosts. */
		readonly hosts: Address;
		readonly metrics: Address;
	};
	/** The store that all hosts share. */
	readonly store: Address;
	/** The platform's endpoint for promotions. */
	readonly promotions: Address;
	/** Milliseconds after which no host may accept a revoked key any more. */
	readonly revocationLimitMs: number;
	/** Milliseconds after which an accepted configuration must be in force on every host. */
	readonly configurationLimitMs: number;
	/** Milliseconds after which no statements may reach an instance that the platform lists as departing or not any more. */
	readonly drainLimitMs: number;
	/** Milliseconds after which no host may send anything of callers to the instances of an evacuated zone. */
	readonly evacuationLimitMs: number;
	readonly rateBound: RateBound;
	readonly warmupBound: WarmupBound;
	/** What the machine lets the process take. */
	readonly machine: MachineLimits;
	/** Milliseconds between the request to stop and the kill of the process. */
	readonly gracePeriodMs: number;
	/** Milliseconds within which the platform directs new callers to other hosts once a host is not ready. */
	readonly redirectMs: number;
};
