import type {ConnectionRefusal} from './connection-refusal.ts';
import {riseIntervalMs} from './rise-interval-ms.ts';

type Options = {
	/** Maximum number of this host's connections. */
	readonly limit: number;
	/** Current time in milliseconds of the steady clock. */
	readonly now: number;
};

/**
 * Finds how many connections a pool may hold after the instance refused one because it had too many.
 *
 * Connections of a lost host may still count at the instance, so the limit falls to what the pool held and rises slowly.
 */
export function findAllowedConnections(refusal: ConnectionRefusal | undefined, {limit, now}: Options): number {
	if (refusal === undefined) {
		return limit;
	}

	return Math.min(limit, refusal.held + Math.floor((now - refusal.at) / riseIntervalMs));
}
