/** The regions of the deployment, from the settings of this host. */
export type RegionMap = {
	/** Regions by availability zone. */
	readonly byZone: ReadonlyMap<string, string>;
};
