/** Topology, network conditions and settings of a cluster. */
export type ClusterPlan = {
	readonly zones: readonly string[];
	/** Entry hosts in each zone. */
	readonly hostsPerZone: number;
	readonly databases: readonly string[];
	/** One-way latency between zones, in milliseconds. */
	readonly zoneDelay: number;
	/** Largest additional latency of a segment between zones, in milliseconds. */
	readonly zoneJitter: number;
	/** Fraction of segments between zones that are lost and retransmitted, from 0 to 1. */
	readonly zoneLoss: number;
	/** Settings of hosts that differ from the defaults. */
	readonly host: Readonly<Record<string, unknown>>;
	/** Settings of endpoint instances that differ from the defaults. */
	readonly endpoint: Readonly<Record<string, unknown>>;
	/** Seed of the random jitter and loss on links. */
	readonly seed: number;
};
