import {isAllocatedOnDemand} from './is-allocated-on-demand.ts';
import type {RateHolding} from './rate-holding.ts';

type Options = {
	/** Operations per second that callers request at the host. */
	readonly demand: number;
	/** Holdings of the other hosts. */
	readonly others: readonly RateHolding[];
	/** Number of registered hosts. */
	readonly hostCount: number;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/** Factor by which a share may exceed the host's demand while the rate suffices for all hosts. */
const demandHeadroom = 1.25;

/** Fraction of the rate that is divided equally among hosts, so that a host without recent demand can serve its first callers. */
const evenFraction = 0.1;

/** Minimum fraction of the rate that stays in the allocator's pool, for hosts whose share is used up. */
const reservedFraction = 0.05;

/** Milliseconds after which the demand that a host reported is ignored. */
const demandTimeoutMs = 5000;

/** Finds the rate to grant a host, in operations per second: its demand plus headroom, scaled down when the total demand exceeds `limit`. */
export function findTargetRate(limit: number, {
	demand, others, hostCount, now,
}: Options): number {
	if (isAllocatedOnDemand({limit, hostCount, demand})) {
		return 0;
	}

	// If hosts without demand are allocated on demand, none of them gets an equal part.
	const even = isAllocatedOnDemand({limit, hostCount, demand: 0}) ? 0 : evenFraction * limit / Math.max(1, hostCount);
	const demands = others.map(holding => now - holding.claimedAt < demandTimeoutMs ? holding.demand : 0);
	const total = demands.reduce((sum, other) => sum + other, demand) * demandHeadroom;
	const assignable = (1 - evenFraction - reservedFraction) * limit;
	return even + (demand * demandHeadroom * Math.min(1, assignable / Math.max(total, 1e-9)));
}
