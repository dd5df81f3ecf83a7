import {setTimeout as sleep} from 'node:timers/promises';
import {createRateAllocator} from './create-rate-allocator.ts';
import {createLocalShares} from './create-local-shares.ts';
import {createTokenQueue} from './create-token-queue.ts';
import {findDemand} from './find-demand.ts';
import {findElapsed} from './find-elapsed.ts';
import {findHeldRate} from './find-held-rate.ts';
import {findRateAllocatorRank} from './find-rate-allocator-rank.ts';
import {bootstrapStaggerMs} from './bootstrap-stagger-ms.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {Instant} from './instant.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateClaim} from './rate-claim.ts';
import type {RateLimiter} from './rate-limiter.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import {takeRateAllocatorLease} from './take-rate-allocator-lease.ts';
import type {Versioned} from './versioned.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly self: string;
	/** Partition of the workspaces whose rates are limited. */
	readonly partition: number;
	readonly incarnation: number;
	readonly bound: RateBound;
	readonly findLimits: () => ReadonlyMap<string, WorkspaceLimits>;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Moment as of which the store confirmed the fleet's rows. */
	readonly findFleetConfirmedAt: () => Instant | undefined;
	readonly store: Store;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** Milliseconds between two claims of a host. */
const claimIntervalMs = 800;

/** Milliseconds between two claims while operations are refused. */
const urgentClaimIntervalMs = 200;

/** Milliseconds without an answer from the rate allocator after which another host takes its lease. */
const allocatorTimeoutMs = 1000;

/** Milliseconds that each candidate waits longer than the one ranked before it, so that they do not compete for the lease. */
const rankDelayMs = 300;

/** Rank from which on all candidates wait equally long. */
const maxRank = 4;

/** Maximum staleness in milliseconds of the fleet's rows at which a host may take the lease. */
const maxFleetAgeMs = 1500;

/** Milliseconds that callers wait for the rate allocator's answer. */
const tokenRequestTimeoutMs = 120;

/** Maximum milliseconds between two claims to the allocator of partition 0, which uses claims as heartbeats of the hosts. */
const heartbeatIntervalMs = 3000;

/**
 * Creates the rate limiter for the workspaces of one partition.
 *
 * Operations are taken from the host's own shares, which it claims from the partition's rate allocator. When a share is
 * used up, the host requests single operations from the allocator's pool.
 */
export function createPartitionLimiter(options: Options): RateLimiter {
	const {self, partition, incarnation, now, log} = options;
	let fleet: FleetRows | undefined;
	/** When the fleet's rows first became known, in milliseconds of the steady clock. */
	let fleetKnownSince: number | undefined;
	let claimedAt = Number.NEGATIVE_INFINITY;
	/** Epoch of the rate allocator that answered last. */
	let answeredEpoch = 0;
	/** When the first unanswered claim was sent, in milliseconds of the steady clock; undefined after an answer. */
	let unansweredSince: number | undefined;
	/** When a claim was last answered, in milliseconds of the steady clock. */
	let lastAnswerAt = Number.NEGATIVE_INFINITY;
	let isBusy = false;
	let hasRefused = false;

	const shares = createLocalShares({...options, countHosts: () => Math.max(1, fleet?.hosts.size ?? 1)});
	const allocator = createRateAllocator({...options, findFleet: () => fleet});
	const findRow = () => fleet?.rateAllocators.get(partition);

	/** Sends claims to the rate allocator and applies its grants; returns false if it does not answer in time or has lost the lease. */
	const sendClaims = async (row: RateAllocatorRow, claims: readonly RateClaim[], timeout?: number): Promise<boolean> => {
		const requestedAt = now();
		const message = {
			host: self, incarnation, partition, epoch: row.epoch, claims,
		};
		const answer = allocator.isAllocator() ? allocator.claimRates(message) : options.findPeer(row.holder)?.claimRates(message);
		const granted = await (timeout === undefined ? answer : Promise.race([answer, sleep(timeout, undefined)]));
		if (granted === undefined || granted === 'notAllocator') {
			unansweredSince ??= requestedAt.steady;
			return false;
		}

		unansweredSince = undefined;
		answeredEpoch = row.epoch;
		shares.applyGrants(granted.grants, {spanMs: granted.spanMs, requestedAt});
		return true;
	};

	const tokens = createTokenQueue({
		hasAllocator: () => findRow() !== undefined,
		async requestTokens(workspace, needed) {
			const row = findRow();
			const claim = shares.createClaim(workspace, needed);
			if (row !== undefined && claim !== undefined) {
				await sendClaims(row, [claim], tokenRequestTimeoutMs);
			}

			return (shares.findShare(workspace)?.tokens ?? 0) >= 1;
		},
		now,
	});

	const claim = async (row: RateAllocatorRow) => {
		claimedAt = now().steady;
		if (answeredEpoch !== row.epoch) {
			shares.clearClaimed();
		}

		const claims = shares.listClaims();
		const isHeartbeatDue = partition === 0 && now().steady - lastAnswerAt > heartbeatIntervalMs;
		if (claims.length === 0 && answeredEpoch === row.epoch && !isHeartbeatDue) {
			return;
		}

		if (await sendClaims(row, claims)) {
			lastAnswerAt = now().steady;
			hasRefused = false;
			shares.recordClaimed(claims);
		}
	};

	const takeLease = async (row: Versioned<RateAllocatorRow> | undefined) => {
		unansweredSince = undefined;
		await takeRateAllocatorLease(row, {...options, hosts: [...fleet?.hosts.keys() ?? []]});
	};

	/** Runs a task and sets `isBusy` meanwhile, so that no other one starts. */
	const runExclusive = async (task: Promise<void>) => {
		isBusy = true;
		try {
			await task;
		} finally {
			isBusy = false;
		}
	};

	/** Whether this host, by its rank, is due to take a lease that nobody holds or whose holder does not answer. */
	const isLeaseDue = (row: RateAllocatorRow | undefined, rows: FleetRows): boolean => {
		const confirmedAt = options.findFleetConfirmedAt();
		const since = row === undefined ? fleetKnownSince : unansweredSince;
		if (since === undefined || confirmedAt === undefined || findElapsed(confirmedAt, now()) >= maxFleetAgeMs || row?.holder === self) {
			return false;
		}

		const rank = Math.min(maxRank, findRateAllocatorRank({
			self, partition, hosts: [...rows.hosts.keys()], lost: row?.holder,
		}));
		return now().steady - since > (row === undefined ? rank * bootstrapStaggerMs : allocatorTimeoutMs + (rank * rankDelayMs));
	};

	const logRefusal = (workspace: string, limits: WorkspaceLimits) => {
		const share = shares.findShare(workspace);
		log.debug({
			workspace,
			...limits,
			held: share && findHeldRate(share, now()),
			saved: share?.tokens,
			demand: share && findDemand(share, now()),
			home: findRow()?.holder,
			isPoolEmpty: tokens.isPoolEmpty(workspace),
		}, 'rates: The host refused an operation because no tokens are left.');
	};

	return {
		async takeOperation(workspace) {
			const limits = options.findLimits().get(workspace);
			if (limits === undefined) {
				return {isTaken: true, retryAfter: 0};
			}

			const first = shares.takeOperation(workspace, limits, true);
			if (first.isTaken) {
				return first;
			}

			await tokens.wait(workspace);
			const second = shares.takeOperation(workspace, limits, false);
			if (!second.isTaken) {
				hasRefused = true;
				logRefusal(workspace, limits);
			}

			return second;
		},
		claimRates: allocator.claimRates,
		listSilentHosts: allocator.listSilentHosts,
		updateFleet(newer) {
			const row = newer.rateAllocators.get(partition);
			if (row?.epoch !== findRow()?.epoch) {
				log.info({partition, holder: row?.holder, epoch: row?.epoch}, 'rates: The lease of the rate allocator changed its holder or epoch.');
				unansweredSince = undefined;
				// A new allocator grants little until all hosts have claimed, so this host claims immediately.
				claimedAt = Number.NEGATIVE_INFINITY;
			}

			fleet = newer;
			fleetKnownSince ??= now().steady;
		},
		step() {
			if (fleet === undefined || options.findFleetConfirmedAt() === undefined || isBusy || !fleet.hosts.has(self)) {
				return;
			}

			const row = findRow();
			const isRestarted = row?.holder === self && row.incarnation !== incarnation;
			if (isRestarted || isLeaseDue(row, fleet)) {
				void runExclusive(takeLease(row));
			} else if (row !== undefined && now().steady - claimedAt > (hasRefused ? urgentClaimIntervalMs : claimIntervalMs)) {
				void runExclusive(claim(row));
			}
		},
	};
}
