type Options = {
	/** Hosts of the fleet. */
	readonly hosts: number;
	/** Instances of all groups. */
	readonly instances: number;
};

/** Gateways of an instance: one that is lost takes a part of the workspaces with it, and more leave each too few connections. */
const limits = {least: 2, most: 3};

/** Pairs of a host and a gateway over the fleet, each of which takes a connection and has to hear of each other. */
const pairsLimit = 6000;

/**
 * Finds how many hosts connect to each instance, and run work for the others.
 *
 * In a large fleet each pair of hosts has little to say to each other; fewer gateways make fewer pairs, which then know
 * more often that the other is there.
 */
export function findGatewayCount({hosts, instances}: Options): number {
	const fitting = Math.floor(pairsLimit / Math.max(1, hosts * instances));
	return Math.max(limits.least, Math.min(limits.most, fitting));
}
