/**
 * The hosts that share the rates of workspaces, and those through which changes are accepted.
 *
 * It lies in the same table row as the name of the configuration, so that one compare-and-set orders all.
 */
export type Roster = {
	/** Version of the table row. */
	readonly head: number;
	/** Rises by one with each roster; a host that sees it rise by more has missed one. */
	readonly epoch: number;
	/** Hosts that the platform lists; each may use its even share of the reserves. */
	readonly hosts: readonly string[];
	/** Live hosts, among which the homes of workspaces are chosen. */
	readonly homes: readonly string[];
	readonly acceptors: readonly string[];
};
