/** What the machine of a host lets its process take. */
export type MachineLimits = {
	/** Bytes of memory; infinity if the settings name no limit. */
	readonly memoryBytes: number;
	/** Open descriptors; infinity if the settings name no limit. */
	readonly descriptors: number;
};
