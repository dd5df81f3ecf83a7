import {takeUnits, type TokenBucket} from '@sapphirefall/decisions';
import {findBurstBudget} from './find-burst-budget.ts';
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
	/** Names of the hosts that are registered. */
	readonly registered: readonly string[];
	/** Milliseconds for which shares hold. */
	readonly span: number;
	/** Milliseconds after which nothing of an earlier home holds any more. */
	readonly unknownSpan: number;
	/** Steady milliseconds. */
	readonly now: number;
};

type Assigned = {
	readonly home: RateAllocatorState;
	/** By workspace. */
	readonly grants: ReadonlyMap<string, RateGrant>;
};

type Holding = RateAllocatorState['hosts'] extends ReadonlyMap<string, ReadonlyMap<string, infer Value>> ? Value : never;

const millisecondsPerSecond = 1000;

/** How much more than its demand a host gets while there is enough for all. */
const headroom = 1.25;

/** Share of the rate that goes to hosts without regard to their demand, so that the first callers find some. */
const evenPart = 0.1;

/** Share of the rate that the home keeps at the least, for hosts that run short. */
const keptPart = 0.05;

/** Milliseconds after which the demand that a host told counts no more. */
const demandMemory = 5000;

/** Operations at most that a host gets at once. */
const unitsLimit = 8;

/**
 * Assigns shares of the workspaces' rates to a host, by its demand and that of the others, and gives it operations
 * of the home's pool when callers wait.
 *
 * The shares that hold at one moment never sum up to more than the rate, and the pool is filled by the rest only.
 * What is still held under an earlier home is known once all hosts have claimed; until then a host gets no more
 * than it holds.
 */
export function assignRates(home: RateAllocatorState, options: Options): Assigned {
	const {host, claims, limits, registered, unknownSpan, now} = options;
	const isAllKnown = now - home.startedAt > unknownSpan || registered.every(name => name === host || home.hosts.has(name));
	const holdings = new Map(home.hosts.get(host));
	const pools = new Map(home.pools);
	const grants = new Map<string, RateGrant>();
	for (const claim of claims) {
		const {workspace} = claim;
		const limit = limits.get(workspace);
		if (limit === undefined) {
			continue;
		}

		const others = listOthers(home, workspace, host);
		const taken = others.reduce((sum, holding) => sum + (holding.expiresAt > now ? holding.rate : 0), 0);
		const target = findTarget(limit.rate, {claim, others, options});
		const rate = Math.min(target, Math.max(0, limit.rate - taken), isAllKnown ? limit.rate : claim.held);
		// The answer may be lost, and then the host goes on with what it holds.
		const held = Math.max(rate, claim.held);
		holdings.set(workspace, {
			rate: held, expiresAt: now + options.span, demand: claim.demand, claimedAt: now,
		});
		const {pool, units} = takePooled(pools.get(workspace) ?? {units: 0, refilledAt: home.startedAt}, {
			claim, limit, free: isAllKnown ? Math.max(0, limit.rate - taken - held) : 0, options,
		});
		pools.set(workspace, pool);
		grants.set(workspace, {rate, units});
	}

	return {
		home: {
			...home, pools, hosts: new Map(home.hosts).set(host, holdings), lastClaimAt: new Map(home.lastClaimAt).set(host, now),
		},
		grants,
	};
}

function listOthers({hosts}: RateAllocatorState, workspace: string, host: string): readonly Holding[] {
	return [...hosts]
		.filter(([name]) => name !== host)
		.map(([, holdings]) => holdings.get(workspace))
		.filter(holding => holding !== undefined);
}

/** Finds a host's share: some more than its demand, or its part of what there is. */
function findTarget(limit: number, {claim, others, options}: {readonly claim: RateClaim; readonly others: readonly Holding[]; readonly options: Options}): number {
	const {registered, now} = options;
	const hostCount = registered.length;
	if (isAllocatedOnDemand({limit, hostCount, demand: claim.demand})) {
		return 0;
	}

	// Where hosts without demand would be served singly, none of them gets an even part.
	const even = isAllocatedOnDemand({limit, hostCount, demand: 0}) ? 0 : evenPart * limit / Math.max(1, hostCount);
	const demands = others.map(({claimedAt, demand}) => now - claimedAt < demandMemory ? demand : 0);
	const total = demands.reduce((sum, demand) => sum + demand, claim.demand) * headroom;
	const most = (1 - evenPart - keptPart) * limit;
	return even + (claim.demand * headroom * Math.min(1, most / Math.max(total, 1e-9)));
}

type Pooled = {
	readonly claim: RateClaim;
	readonly limit: WorkspaceLimits;
	/** Operations a second that no host holds. */
	readonly free: number;
	readonly options: Options;
};

/** Fills the home's pool with what no host holds and a part of the spare operations, and takes operations for callers who wait. */
function takePooled(bucket: TokenBucket, {claim, limit, free, options}: Pooled) {
	const spare = findBurstBudget(limit, options.bound);
	const spareRate = burstBudgetFractions.poolRefill * spare * millisecondsPerSecond / options.bound.window;
	// What hosts could save up for shares that they do not hold is saved up here.
	const savedPart = burstBudgetFractions.poolCapacity + (burstBudgetFractions.bucketByShare * free / Math.max(limit.rate, 1e-9));
	const refill = {rate: free + spareRate, burst: savedPart * spare, now: options.now};
	let {bucket: pool} = takeUnits(bucket, {cost: 0, ...refill});
	let units = 0;
	while (units < Math.min(claim.needed, unitsLimit)) {
		const taken = takeUnits(pool, {cost: 1, ...refill});
		if (!taken.isTaken) {
			break;
		}

		pool = taken.bucket;
		units++;
	}

	return {pool, units};
}
