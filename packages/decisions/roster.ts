/**
 * The hosts that share the rates of workspaces, and the hosts that commit changes of the configuration.
 *
 * The roster is stored in the same table row as the name of the configuration, so that one compare-and-set orders the
 * changes of both.
 */
export type Roster = {
	/** Version of the table row. */
	readonly head: number;
	/** Rises by one with each roster; a host that sees it rise by more has missed a roster. */
	readonly epoch: number;
	/** Hosts that the platform lists; each may use an equal share of the workspaces' reserves. */
	readonly hosts: readonly string[];
	/** Live hosts, among which the home hosts of workspaces are chosen. */
	readonly homes: readonly string[];
	/** Hosts through which changes of the configuration and the roster are committed, one per zone. */
	readonly acceptors: readonly string[];
};
