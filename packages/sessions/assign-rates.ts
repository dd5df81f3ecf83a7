import type {TokenBucket} from '@sapphirefall/decisions';
import {findFreeRate} from './find-free-rate.ts';
import {findTargetRate} from './find-target-rate.ts';
import type {HostRow} from './host-row.ts';
import type {RateAllocatorState} from './rate-allocator-state.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateClaim} from './rate-claim.ts';
import type {RateGrant} from './rate-grant.ts';
import type {RateHolding} from './rate-holding.ts';
import {takePooledUnits} from './take-pooled-units.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly host: string;
	readonly claims: readonly RateClaim[];
	readonly limits: ReadonlyMap<string, WorkspaceLimits>;
	readonly bound: RateBound;
	/** Hosts that are registered. */
	readonly registered: ReadonlyArray<Pick<HostRow, 'name' | 'zone'>>;
	/** Lifetime of granted shares, in milliseconds. */
	readonly spanMs: number;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

type Assigned = {
	readonly state: RateAllocatorState;
	/** By workspace. */
	readonly grants: ReadonlyMap<string, RateGrant>;
	/** Whether the shares of all hosts are known. */
	readonly isAllKnown: boolean;
};

const millisecondsPerSecond = 1000;

/**
 * Assigns shares of the workspaces' rates to the host that sent the claims, in proportion to its demand and that of
 * the other hosts, and grants it operations from the allocator's pool for callers that are waiting.
 *
 * The sum of the unexpired shares never exceeds the rate, and the pool is refilled only from the unassigned remainder
 * and the burst budget. After a change of allocator, the shares that an earlier one granted are known once every
 * registered host has claimed or they have expired (`handoverEndsAt`). Until then a host gets no more than it holds, or
 * than what the hosts of the only zone that is not known completely cannot hold once the earlier allocator has stopped.
 */
export function assignRates(state: RateAllocatorState, options: Options): Assigned {
	const {
		host, claims, limits, bound, registered, now,
	} = options;
	const unknownZones = now > state.handoverEndsAt ? new Set<string>() : listUnknownZones(state, options);
	const isAllKnown = unknownZones.size === 0;
	const zones = createZones(registered);
	const holdings = new Map(state.hosts.get(host));
	const pools = new Map(state.pools);
	const credited = new Set(state.credited);
	const grants = new Map<string, RateGrant>();
	for (const claim of claims) {
		const {workspace} = claim;
		const limit = limits.get(workspace);
		if (limit === undefined) {
			continue;
		}

		const others = listOthers(state, workspace, host);
		const target = findTargetRate(limit.rate, {
			demand: claim.demand, others: others.map(({holding}) => holding), hostCount: registered.length, now,
		});
		const free = findFreeRate(limit.rate, {
			host, others, unknownZones, zones, mayEarlierGrant: now < state.creditFrom, now,
		});
		const rate = isAllKnown ? Math.min(target, free.share) : Math.min(target, Math.max(claim.held, free.share));
		// If the answer is lost, the host keeps using the share it already holds.
		const held = Math.max(rate, claim.held);
		holdings.set(workspace, {
			rate: held, expiresAt: now + options.spanMs, demand: claim.demand, claimedAt: now,
		});
		const poolRate = Math.max(0, free.total - held);
		// Shares that were never known may have been in use until the handover ended, so there is no credit after that.
		const credit = isAllKnown && now <= state.handoverEndsAt && !credited.has(workspace) ? poolRate : 0;
		const {pool, units} = takePooledUnits(creditPool(pools.get(workspace) ?? {units: 0, refilledAt: state.startedAt}, {rate: credit, since: state.creditFrom}), {
			needed: claim.needed, limit, bound, free: poolRate, now,
		});
		if (isAllKnown) {
			credited.add(workspace);
		}

		pools.set(workspace, pool);
		grants.set(workspace, {rate, units});
	}

	return {
		state: {
			...state, pools, credited, hosts: new Map(state.hosts).set(host, holdings), lastClaimAt: new Map(state.lastClaimAt).set(host, now),
		},
		grants,
		isAllKnown,
	};
}

type OtherHolding = {readonly name: string; readonly holding: RateHolding};

function listOthers({hosts}: RateAllocatorState, workspace: string, host: string): readonly OtherHolding[] {
	return [...hosts]
		.filter(([name]) => name !== host)
		.map(([name, holdings]) => ({name, holding: holdings.get(workspace)}))
		.filter((other): other is OtherHolding => other.holding !== undefined);
}

/** Lists the zones of registered hosts that have not claimed in this epoch. */
function listUnknownZones({hosts}: RateAllocatorState, {host, registered}: Options): ReadonlySet<string> {
	return new Set(registered.filter(({name}) => name !== host && !hosts.has(name)).map(({zone}) => zone));
}

function createZones(registered: Options['registered']): ReadonlyMap<string, string> {
	return new Map(registered.map(({name, zone}) => [name, zone]));
}

/** Adds what the unassigned rate amounts to between the end of the earlier allocator and the last refill; `rate` is in operations per second. */
function creditPool(pool: TokenBucket, {rate, since}: {readonly rate: number; readonly since: number}): TokenBucket {
	return {...pool, units: pool.units + (rate * Math.max(0, pool.refilledAt - since) / millisecondsPerSecond)};
}
