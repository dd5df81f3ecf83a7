type Fleet = {
	/** Connections that an instance takes from all hosts together. */
	readonly connectionCap: number;
	readonly hostCount: number;
	readonly workspaceCount: number;
};

/** Gateways of an instance: one that is lost takes a part of the workspaces with it, more leave each too few connections. */
const usualCount = 3;

/** Connections of a host at the least, for each workspace, to use instances directly; a connection belongs to one workspace. */
const leastPerWorkspace = 0.25;

/**
 * Finds how many hosts of its availability zone connect to an instance for all others.
 *
 * @returns Undefined when each host has enough connections of its own.
 */
export function findGatewayCount({connectionCap, hostCount, workspaceCount}: Fleet): number | undefined {
	const perHost = Math.floor(connectionCap / Math.max(1, hostCount));
	return perHost >= Math.max(1, workspaceCount * leastPerWorkspace) ? undefined : usualCount;
}
