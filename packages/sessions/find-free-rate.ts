import type {RateHolding} from './rate-holding.ts';

type Options = {
	/** Host that claims. */
	readonly host: string;
	/** Holdings of the other hosts, which are given by name. */
	readonly others: ReadonlyArray<{readonly name: string; readonly holding: RateHolding}>;
	/** Zones with hosts whose shares are not known. */
	readonly unknownZones: ReadonlySet<string>;
	/** Zones by host. */
	readonly zones: ReadonlyMap<string, string>;
	/** Whether an earlier allocator may still give operations from its pool, which no share shows. */
	readonly mayEarlierGrant: boolean;
	/** Milliseconds of the steady clock. */
	readonly now: number;
};

/** Operations per second that no other host may hold. */
type FreeRate = {
	readonly total: number;
	/** Those that a share of the host may have. */
	readonly share: number;
};

/**
 * Maximum fraction of the rate that shares of hosts in one availability zone add up to, in a fleet of several zones. While
 * the hosts of one zone are unreachable, the rest of the rate is known to be free. Callers of one zone may use the whole
 * rate, since operations from the pool do not count.
 */
const maxZoneFraction = 0.75;

/** Finds what no other host may hold of a workspace's rate, which is `limit` operations per second. */
export function findFreeRate(limit: number, {
	host, others, unknownZones, zones, mayEarlierGrant, now,
}: Options): FreeRate {
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
