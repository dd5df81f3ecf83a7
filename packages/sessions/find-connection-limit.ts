type Fleet = {
	/** Connections that an instance takes from all hosts together. */
	readonly connectionCap: number;
	readonly hostCount: number;
	/** See `findGatewayCount`. */
	readonly gatewayCount: number | undefined;
};

/** Share of an instance's connections that is left to hosts which come, and to connections that linger. */
const sparePart = 0.12;

/** Share that is left where gateways connect: less, since a place is kept for the successor of a lost one. */
const gatewaySparePart = 0.03;

/** Finds how many connections a host may hold to an instance. */
export function findConnectionLimit({connectionCap, hostCount, gatewayCount}: Fleet): number {
	const usable = gatewayCount === undefined
		? connectionCap * (1 - sparePart) / Math.max(1, hostCount)
		: connectionCap * (1 - gatewaySparePart) / (gatewayCount + 1);
	return Math.max(1, Math.floor(usable));
}
