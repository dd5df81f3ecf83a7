/** Share of an instance's connections that is left to questions of hosts that are no gateways. */
const sparePart = 0.03;

/**
 * Finds how many connections a gateway may hold to an instance. A place is kept for the successor of a lost gateway,
 * whose connections may linger.
 *
 * @param cap Connections that the instance takes from all hosts together.
 * @param gatewayCount Hosts that connect to the instance; see `findGatewayCount`.
 */
export function findConnectionLimit(cap: number, gatewayCount: number): number {
	return Math.max(1, Math.floor(cap * (1 - sparePart) / (gatewayCount + 1)));
}
