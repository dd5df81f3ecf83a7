/** What a cluster consists of. */
export type ClusterPlan = {
	readonly zones: readonly string[];
	/** Entry hosts in each zone. */
	readonly hostsPerZone: number;
	readonly databases: readonly string[];
	/** Milliseconds from zone to zone, one way. */
	readonly zoneDelay: number;
	/** Further milliseconds that a segment between zones may take. */
	readonly zoneJitter: number;
	/** Share of segments between zones that are lost and sent again. */
	readonly zoneLoss: number;
	/** Settings of hosts that differ from the defaults. */
	readonly host: Readonly<Record<string, unknown>>;
	/** Settings of endpoint instances that differ from the defaults. */
	readonly endpoint: Readonly<Record<string, unknown>>;
	/** Seed of the links' jitter and loss. */
	readonly seed: number;
};
