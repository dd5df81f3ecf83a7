/** The table row that names the configuration in force. The row's version is the configuration's. */
export type ConfigurationHead = {
	/** Name of the object that holds the body. */
	readonly object: string;
	/** The latest changes, oldest first. */
	readonly changes: ReadonlyArray<{
		readonly version: number;
		readonly changeId: string;
		readonly summary: string;
	}>;
};
