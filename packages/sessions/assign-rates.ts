import {takeUnits, type TokenBucket} from '@sapphirefall/decisions';
import {findBurstBudget} from './find-burst-budget.ts';
import type {HostRow} from './host-row.ts';
import {isAllocatedOnDemand} from './is-allocated-on-demand.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateClaim} from './rate-claim.ts';
import type {RateGrant} from './rate-grant.ts';
import type {RateAllocatorState} from './rate-allocator-state.ts';
import {burstBudgetFractions} from './burst-budget-fractions.ts';
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

type Holding = RateAllocatorState['hosts'] extends ReadonlyMap<string, ReadonlyMap<string, infer Value>> ? Value : never;

const millisecondsPerSecond = 1000;

/** Factor by which a share may exceed the host's demand while the rate suffices for all hosts. */
const demandHeadroom = 1.25;

/** Fraction of the rate that is divided equally among hosts, so that a host without recent demand can serve its first callers. */
const evenFraction = 0.1;

/** Minimum fraction of the rate that stays in the allocator's pool, for hosts whose share is used up. */
const reservedFraction = 0.05;

/**
 * Maximum fraction of the rate that shares of hosts in one availability zone add up to, in a fleet of several zones. While
 * the hosts of one zone are unreachable, the rest of the rate is known to be free. Callers of one zone may use the whole
 * rate, since operations from the pool do not count.
 */
const maxZoneFraction = 0.75;

/** Milliseconds after which the demand that a host reported is ignored. */
const demandTimeoutMs = 5000;

/** Maximum number of operations that one claim gets from the pool. */
const maxPooledUnits = 8;

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
	const {host, claims, limits, registered, now} = options;
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
		const target = findTarget(limit.rate, {claim, others: others.map(({holding}) => holding), options});
		const free = findFree(limit.rate, {
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
		const {pool, units} = takePooled(creditPool(pools.get(workspace) ?? {units: 0, refilledAt: state.startedAt}, {rate: credit, since: state.creditFrom}), {
			claim, limit, free: poolRate, options,
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

type OtherHolding = {readonly name: string; readonly holding: Holding};

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

type Holders = {
	readonly host: string;
	readonly others: readonly OtherHolding[];
	/** Zones with hosts whose shares are not known. */
	readonly unknownZones: ReadonlySet<string>;
	/** Zones by host. */
	readonly zones: ReadonlyMap<string, string>;
	/** Whether an earlier allocator may still give operations from its pool, which no share shows. */
	readonly mayEarlierGrant: boolean;
	readonly now: number;
};

/** Finds the operations per second that no other host may hold, in all (`total`) and for the share of a host (`share`). */
function findFree(limit: number, {
	host, others, unknownZones, zones, mayEarlierGrant, now,
}: Holders): {readonly total: number; readonly share: number} {
	const zone = zones.get(host);
	const sum = (isCounted: (name: string) => boolean) => others
		.reduce((total, {name, holding}) => total + (isCounted(name) && holding.expiresAt > now ? holding.rate : 0), 0);
	const zoneLimit = new Set(zones.values()).size > 1 ? limit * maxZoneFraction : limit;
	if (unknownZones.size === 0) {
		const total = Math.max(0, limit - sum(() => true));
		return {total, share: Math.max(0, Math.min(total, zoneLimit - sum(name => zones.get(name) === zone)))};
	}

	// Hosts of the unknown zone may hold all that a zone may hold; nothing is free if another zone is unknown as well.
	const isOutside = (name: string) => !unknownZones.has(zones.get(name) ?? '');
	const total = unknownZones.size === 1 && isOutside(host) && !mayEarlierGrant ? Math.max(0, limit - zoneLimit - sum(isOutside)) : 0;
	return {total, share: total};
}

/** Finds the rate to grant a host: its demand plus headroom, scaled down when the total demand exceeds the rate. */
function findTarget(limit: number, {claim, others, options}: {readonly claim: RateClaim; readonly others: readonly Holding[]; readonly options: Options}): number {
	const {registered, now} = options;
	const hostCount = registered.length;
	if (isAllocatedOnDemand({limit, hostCount, demand: claim.demand})) {
		return 0;
	}

	// If hosts without demand are allocated on demand, none of them gets an equal part.
	const even = isAllocatedOnDemand({limit, hostCount, demand: 0}) ? 0 : evenFraction * limit / Math.max(1, hostCount);
	const demands = others.map(({claimedAt, demand}) => now - claimedAt < demandTimeoutMs ? demand : 0);
	const total = demands.reduce((sum, demand) => sum + demand, claim.demand) * demandHeadroom;
	const assignable = (1 - evenFraction - reservedFraction) * limit;
	return even + (claim.demand * demandHeadroom * Math.min(1, assignable / Math.max(total, 1e-9)));
}

/** Adds what the unassigned rate amounts to between the end of the earlier allocator and the last refill; `rate` is in operations per second. */
function creditPool(pool: TokenBucket, {rate, since}: {readonly rate: number; readonly since: number}): TokenBucket {
	return {...pool, units: pool.units + (rate * Math.max(0, pool.refilledAt - since) / millisecondsPerSecond)};
}

type Pooled = {
	readonly claim: RateClaim;
	readonly limit: WorkspaceLimits;
	/** Operations per second that are not assigned to any host. */
	readonly free: number;
	readonly options: Options;
};

/** Refills the allocator's pool from the unassigned rate and a fraction of the burst budget, and takes operations for waiting callers. */
function takePooled(bucket: TokenBucket, {claim, limit, free, options}: Pooled) {
	const burstBudget = findBurstBudget(limit, options.bound);
	const budgetRate = burstBudgetFractions.poolRefill * burstBudget * millisecondsPerSecond / options.bound.window;
	// Bucket capacity that belongs to unassigned shares is added to the pool.
	const capacityFraction = burstBudgetFractions.poolCapacity + (burstBudgetFractions.bucketByShare * free / Math.max(limit.rate, 1e-9));
	const refill = {rate: free + budgetRate, burst: capacityFraction * burstBudget, now: options.now};
	let {bucket: pool} = takeUnits(bucket, {cost: 0, ...refill});
	let units = 0;
	while (units < Math.min(claim.needed, maxPooledUnits)) {
		const taken = takeUnits(pool, {cost: 1, ...refill});
		if (!taken.isTaken) {
			break;
		}

		pool = taken.bucket;
		units++;
	}

	return {pool, units};
}
