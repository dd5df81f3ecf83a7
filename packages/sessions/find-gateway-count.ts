type Options = {
	/** Number of hosts in the fleet. */
	readonly hosts: number;
	/** Number of instances in all groups. */
	readonly instances: number;
};

/**
 * Gateways of an instance. With too few, the loss of one affects a large part of the workspaces; with too many, each has
 * too small a share of the instance's connections.
 */
const gatewayLimits = {min: 2, max: 3};

/** Pairs of a host and a gateway in the whole fleet; the two hosts of a pair hold a connection and ping each other. */
const maxHostGatewayPairs = 6000;

/**
 * Finds how many hosts are gateways of each instance, that is, connect to it and run jobs of the other hosts.
 *
 * In a large fleet each pair of hosts exchanges few messages. Fewer gateways make fewer pairs with more traffic each, so
 * that a host more often knows from a recent answer that a gateway is reachable.
 */
export function findGatewayCount({hosts, instances}: Options): number {
	const fitting = Math.floor(maxHostGatewayPairs / Math.max(1, hosts * instances));
	return Math.max(gatewayLimits.min, Math.min(gatewayLimits.max, fitting));
}
