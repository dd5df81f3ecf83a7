/** Share of a workspace's rate that the rate allocator grants a host. */
export type RateGrant = {
	/** Operations per second. */
	readonly rate: number;
	/** Operations that may run immediately, in addition to the rate. */
	readonly units: number;
};
