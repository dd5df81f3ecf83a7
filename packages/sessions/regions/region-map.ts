/** The regions of the deployment, from the settings of this host. */
export type RegionMap = {
	/** Region of this host, which is also that of the callers who connect to it; undefined if the settings name none. */
	readonly own: string | undefined;
	/** Regions by availability zone. */
	readonly byZone: ReadonlyMap<string, string>;
};
