import type {RateClaim} from './rate-claim.ts';
import type {RateHome} from './rate-home.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly host: string;
	readonly claims: readonly RateClaim[];
	readonly limits: ReadonlyMap<string, WorkspaceLimits>;
	/** Names of the hosts that are registered. */
	readonly registered: readonly string[];
	/** Milliseconds for which shares hold. */
	readonly span: number;
	/** Milliseconds after which nothing of an earlier home holds any more. */
	readonly unknownSpan: number;
	/** Steady milliseconds. */
	readonly now: number;
};

type Allotted = {
	readonly home: RateHome;
	/** Operations a second, by workspace. */
	readonly rates: ReadonlyMap<string, number>;
};

/** Share of the rate that goes to hosts without regard to their demand, so that the first callers find some. */
const evenPart = 0.25;

/** Milliseconds after which the demand that a host told counts no more. */
const demandMemory = 5000;

/**
 * Assigns shares of the workspaces' rates to a host, by its demand and that of the others.
 *
 * The shares that hold at one moment never sum up to more than the rate. What is still held under an earlier home
 * is known once all hosts have claimed; until then a host gets no more than it holds.
 */
export function assignRates(home: RateHome, options: Options): Allotted {
	const {host, claims, limits, registered, span, unknownSpan, now} = options;
	const isAllKnown = now - home.startedAt > unknownSpan || registered.every(name => name === host || home.hosts.has(name));
	const holdings = new Map<string, RateHome['hosts'] extends ReadonlyMap<string, ReadonlyMap<string, infer Holding>> ? Holding : never>();
	const rates = new Map<string, number>();
	for (const claim of claims) {
		const limit = limits.get(claim.workspace)?.rate;
		if (limit === undefined) {
			continue;
		}

		const others = listOthers(home, claim.workspace, host);
		const taken = others.reduce((sum, holding) => sum + (holding.expiresAt > now ? holding.rate : 0), 0);
		const demands = others.map(({claimedAt, demand}) => now - claimedAt < demandMemory ? demand : 0);
		const target = findTarget(limit, {own: claim.demand, others: demands, hostCount: Math.max(1, registered.length)});
		const free = Math.max(0, limit - taken);
		const rate = Math.min(target, free, isAllKnown ? limit : claim.held);
		rates.set(claim.workspace, rate);
		// The answer may be lost, and then the host goes on with what it holds.
		holdings.set(claim.workspace, {
			rate: Math.max(rate, claim.held), expiresAt: now + span, demand: claim.demand, claimedAt: now,
		});
	}

	return {
		home: {...home, hosts: new Map(home.hosts).set(host, holdings), heardAt: new Map(home.heardAt).set(host, now)},
		rates,
	};
}

function listOthers({hosts}: RateHome, workspace: string, host: string) {
	return [...hosts]
		.filter(([name]) => name !== host)
		.map(([, holdings]) => holdings.get(workspace))
		.filter(holding => holding !== undefined);
}

function findTarget(limit: number, {own, others, hostCount}: {readonly own: number; readonly others: readonly number[]; readonly hostCount: number}): number {
	const total = own + others.reduce((sum, demand) => sum + demand, 0);
	const even = evenPart * limit / hostCount;
	return total > 0 ? even + ((1 - evenPart) * limit * own / total) : limit / hostCount;
}
