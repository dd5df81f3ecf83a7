/** The recent demand of workspaces for connections to an instance. */
export type WorkspaceDemand = {
	/** Records that a workspace asked for a connection. */
	readonly record: (workspace: string, now: number) => void;
	/** Returns the demand of a workspace: requests, of which older ones count less. */
	readonly findRecent: (workspace: string, now: number) => number;
};
