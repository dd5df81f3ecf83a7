import {assignRates} from './assign-rates.ts';
import {findPermitGroup} from './cold-instances/find-permit-group.ts';
import {lendPermits} from './cold-instances/lend-permits.ts';
import type {PermitState} from './cold-instances/permit-state.ts';
import type {WarmupBound} from './cold-instances/warmup-bound.ts';
import type {WarmupLimit} from './cold-instances/warmup-limit.ts';
import {findElapsed} from './find-elapsed.ts';
import {findRateAllocator} from './find-rate-allocator.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {Instant} from './instant.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateAllocatorState} from './rate-allocator-state.ts';
import type {RateClaim} from './rate-claim.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly self: string;
	/** Partition of the workspaces whose rates are allocated; see `findRatePartition`. */
	readonly partition: number;
	readonly incarnation: number;
	readonly bound: RateBound;
	readonly findLimits: () => ReadonlyMap<string, WorkspaceLimits>;
	/** Limits of cold instances by group, and their bound; undefined if no instance is limited. */
	readonly warmup?: {readonly findLimits: () => ReadonlyMap<string, WarmupLimit>; readonly bound: WarmupBound} | undefined;
	readonly findFleet: () => FleetRows | undefined;
	/** Moment as of which the store confirmed the fleet's rows. */
	readonly findFleetConfirmedAt: () => Instant | undefined;
	readonly now: () => Instant;
};

/** Rate allocator of one partition, active only while this process holds the lease. */
type RateAllocator = {
	/** Whether the store names this process as the lease holder. */
	readonly isAllocator: () => boolean;
	/** Answers the claims of a host if this process holds the lease, otherwise `notAllocator`. */
	readonly claimRates: FleetPeer['claimRates'];
	/** Registered hosts that have sent no claim for `hostSilenceMs`; empty unless this process holds the lease. */
	readonly listSilentHosts: () => readonly string[];
	/** Prepares for the lease of an epoch that this process tries to take, given who held the lease before. */
	readonly expectLease: (expected: ExpectedLease) => void;
};

type ExpectedLease = {
	readonly epoch: number;
	readonly previous: PreviousHolder;
};

/**
 * Holder of the lease before this process: an earlier process of this host, which ended before a moment in milliseconds
 * of the steady clock, or another host, which may go on granting shares until its own confirmation of the lease is too old.
 */
type PreviousHolder = {readonly kind: 'ownProcess'; readonly endedBefore: number} | {readonly kind: 'otherHost'};

/**
 * Milliseconds after the store's last confirmation of the lease for which the allocator grants shares. Confirmations come
 * twice a second; an allocator that is cut off from the store stops soon, so that its successor need not wait long.
 */
const allocatorLeaseMs = 1200;

/** Lifetime of shares in milliseconds: long enough to outlast a short network partition, short enough to reclaim a lost host's share soon. */
const shareSpanMs = 2500;

/** Milliseconds that the allocator adds to a share's lifetime, so that a share never expires here before it does at its host. */
const expiryMarginMs = 300;

/** Milliseconds without a claim after which a host counts as silent. */
const hostSilenceMs = 10_000;

/** Creates the part of a host that divides the rates of one partition among all hosts while it holds the allocator's lease. */
export function createRateAllocator(options: Options): RateAllocator {
	const {
		self, partition, incarnation, bound, findFleet, now,
	} = options;
	let state: RateAllocatorState | undefined;
	let permits: PermitState | undefined;
	let expected: ExpectedLease | undefined;

	const findRow = () => findRateAllocator(findFleet(), partition);
	const isAllocator = () => findRow()?.holder === self && findRow()?.incarnation === incarnation;

	const hasLease = () => {
		const confirmedAt = options.findFleetConfirmedAt();
		return isAllocator() && confirmedAt !== undefined && findElapsed(confirmedAt, now()) < allocatorLeaseMs;
	};

	/** Lends permits for cold instances to the host that sent the claims. */
	const lend = (claims: readonly RateClaim[]) => {
		if (options.warmup === undefined || permits === undefined || claims.length === 0) {
			return [];
		}

		const {findLimits, bound: warmupBound} = options.warmup;
		const lent = lendPermits(permits, {
			claims, limits: findLimits(), bound: warmupBound, now: now().steady,
		});
		permits = lent.state;
		return lent.grants;
	};

	const claimRates: RateAllocator['claimRates'] = async ({host, epoch, claims}) => {
		const row = findRow();
		if (row === undefined || !hasLease() || epoch !== row.epoch) {
			return 'notAllocator';
		}

		if (state?.epoch !== row.epoch) {
			permits = {since: findPermitsFrom(row.epoch), buckets: new Map()};
			state = {
				epoch: row.epoch,
				startedAt: now().steady,
				...findHandover(row.epoch),
				credited: new Set(),
				hosts: new Map(),
				lastClaimAt: new Map(),
				pools: new Map(),
			};
		}

		const permitClaims = claims.filter(({workspace}) => findPermitGroup(workspace) !== undefined);
		const rateClaims = claims.filter(({workspace}) => findPermitGroup(workspace) === undefined);
		const assigned = assignRates(state, {
			host,
			claims: rateClaims,
			limits: options.findLimits(),
			bound,
			registered: [...findFleet()?.hosts.values() ?? []],
			spanMs: shareSpanMs + expiryMarginMs,
			now: now().steady,
		});
		({state} = assigned);
		const lent = lend(permitClaims);
		return {grants: new Map([...assigned.grants, ...lent]), spanMs: shareSpanMs, isSettled: assigned.isAllKnown};
	};

	/** Finds until when an earlier holder of the lease may have granted operations, and when the shares that it granted have expired. */
	const findHandover = (epoch: number) => {
		const previous = expected?.epoch === epoch ? expected.previous : undefined;
		const lastGrantAt = previous?.kind === 'ownProcess' ? previous.endedBefore : now().steady + allocatorLeaseMs;
		return {creditFrom: lastGrantAt, handoverEndsAt: lastGrantAt + shareSpanMs + expiryMarginMs};
	};

	/**
	 * Finds until when an earlier holder of the lease may have lent permits. An earlier process of this host may have held the
	 * lease for a moment only, while the holder before it was cut off and went on lending.
	 */
	const findPermitsFrom = (epoch: number) => {
		const previous = expected?.epoch === epoch ? expected.previous : undefined;
		return (previous?.kind === 'ownProcess' ? previous.endedBefore : now().steady) + allocatorLeaseMs;
	};

	return {
		isAllocator,
		claimRates,
		expectLease(lease) {
			expected = lease;
		},
		listSilentHosts() {
			const at = now().steady;
			const current = state;
			if (current === undefined || !hasLease() || at - current.startedAt < hostSilenceMs) {
				return [];
			}

			return [...findFleet()?.hosts.keys() ?? []].filter(host => host !== self && at - (current.lastClaimAt.get(host) ?? current.startedAt) > hostSilenceMs);
		},
	};
}
