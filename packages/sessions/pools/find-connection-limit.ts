/** Fraction of an instance's connections that is reserved for status queries of hosts that are not gateways. */
const reservedFraction = 0.03;

/**
 * Finds how many connections a gateway may hold to an instance.
 *
 * The limit leaves the share of one further gateway free: connections of a lost gateway may stay open on the instance
 * while its successor already opens new ones.
 *
 * @param cap Connections that the instance accepts from all hosts together.
 * @param gatewayCount Number of gateways of the instance; see `findGatewayCount`.
 */
export function findConnectionLimit(cap: number, gatewayCount: number): number {
	return Math.max(1, Math.floor(cap * (1 - reservedFraction) / (gatewayCount + 1)));
}
