import {createPermitTaker} from './cold-instances/create-permit-taker.ts';
import {createOperationTaker} from './create-operation-taker.ts';
import {createRateClaimSender} from './create-rate-claim-sender.ts';
import {createRateLeaseAttempts} from './create-rate-lease-attempts.ts';
import {createRateAllocator} from './create-rate-allocator.ts';
import {createLocalShares} from './create-local-shares.ts';
import {createTokenQueue} from './create-token-queue.ts';
import {findRateAllocator} from './find-rate-allocator.ts';
import {createAllocatorContact} from './create-allocator-contact.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {Instant} from './instant.ts';
import type {RateBound} from './rate-bound.ts';
import type {RateLimiter} from './rate-limiter.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import type {WorkspaceLimits} from './workspace-limits.ts';

type Options = {
	readonly self: string;
	/** Partition of the workspaces whose rates are limited. */
	readonly partition: number;
	readonly incarnation: number;
	/** When this process started, in milliseconds of the steady clock. */
	readonly startedAt: number;
	readonly bound: RateBound;
	readonly findLimits: () => ReadonlyMap<string, WorkspaceLimits>;
	readonly warmup?: Parameters<typeof createRateAllocator>[0]['warmup'];
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

/** Milliseconds that callers wait for the rate allocator's answer. */
const tokenRequestTimeoutMs = 120;

/** Milliseconds within which an allocator must answer one more claim before another host takes its lease. */
const checkTimeoutMs = 300;

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
	/** Since when the fleet's rows have named no rate allocator, in milliseconds of the steady clock; undefined while they name one. */
	let vacantSince: number | undefined;
	let claimedAt = Number.NEGATIVE_INFINITY;
	/** When a claim was last answered, in milliseconds of the steady clock. */
	let lastAnswerAt = Number.NEGATIVE_INFINITY;
	/** Epoch of the allocator for which a claim or an attempt to take its lease is in flight; undefined while there is none. */
	let busyEpoch: number | undefined;
	let hasRefused = false;

	const contact = createAllocatorContact(now().steady);
	const shares = createLocalShares({...options, countHosts: () => Math.max(1, fleet?.hosts.size ?? 1)});
	const allocator = createRateAllocator({...options, findFleet: () => fleet});
	const findRow = () => findRateAllocator(fleet, partition);

	const sendClaims = createRateClaimSender({
		...options,
		findRow,
		findAllocator: holder => allocator.isAllocator() ? allocator : options.findPeer(holder),
		contact,
		shares: {
			...shares,
			applyGrants(grants, held) {
				shares.applyGrants(grants, held);
				permits.applyGrants(grants, held.requestedAt);
			},
		},
	});

	const permits = createPermitTaker({
		hasAllocator: () => findRow() !== undefined,
		async sendClaim(permitClaim) {
			const row = findRow();
			return row !== undefined && sendClaims(row, {claims: [permitClaim], timeoutMs: tokenRequestTimeoutMs});
		},
		now,
	});
	const lease = createRateLeaseAttempts({
		...options,
		findFleet: () => fleet,
		checkHolder: async row => sendClaims(row, {claims: [], timeoutMs: checkTimeoutMs}),
		expectLease: allocator.expectLease,
	});

	const tokens = createTokenQueue({
		hasAllocator: () => findRow() !== undefined,
		async requestTokens(workspace, needed) {
			const row = findRow();
			const claim = shares.createClaim(workspace, needed);
			if (row !== undefined && claim !== undefined) {
				await sendClaims(row, {claims: [claim], timeoutMs: tokenRequestTimeoutMs});
			}

			return (shares.findShare(workspace)?.tokens ?? 0) >= 1;
		},
		now,
	});

	const claim = async (row: RateAllocatorRow) => {
		claimedAt = now().steady;
		const claims = shares.listClaims();
		const isHeartbeatDue = partition === 0 && now().steady - lastAnswerAt > heartbeatIntervalMs;
		if (claims.length === 0 && contact.hasAnswered() && !isHeartbeatDue) {
			return;
		}

		if (await sendClaims(row, {claims})) {
			lastAnswerAt = now().steady;
			hasRefused = false;
		}
	};

	/** Runs a task for the allocator of an epoch; no other one for the same epoch starts meanwhile. */
	const runExclusive = async (epoch: number, task: Promise<void>) => {
		busyEpoch = epoch;
		try {
			await task;
		} finally {
			if (busyEpoch === epoch) {
				busyEpoch = undefined;
			}
		}
	};

	const step = () => {
		const epoch = findRow()?.epoch ?? 0;
		if (fleet === undefined || options.findFleetConfirmedAt() === undefined || busyEpoch === epoch || !fleet.hosts.has(self)) {
			return;
		}

		const row = findRow();
		if (lease.isDue(row, row === undefined ? vacantSince : contact.unansweredSince())) {
			void runExclusive(epoch, lease.take(row));
		} else if (row !== undefined && now().steady - claimedAt > (hasRefused || !contact.isSettled() ? urgentClaimIntervalMs : claimIntervalMs)) {
			void runExclusive(epoch, claim(row));
		}
	};

	const takeOperation = createOperationTaker({
		findLimits: options.findLimits,
		findAllocator: () => findRow()?.holder,
		contact,
		shares,
		tokens,
		onRefused() {
			hasRefused = true;
		},
		now,
		log,
	});

	return {
		takeOperation,
		takePermit: permits.takePermit,
		claimRates: allocator.claimRates,
		listSilentHosts: allocator.listSilentHosts,
		updateFleet(newer) {
			const row = findRateAllocator(newer, partition);
			const isNew = row?.epoch !== findRow()?.epoch;
			if (isNew) {
				contact.begin(row?.epoch ?? 0, now().steady);
				log.info({partition, holder: row?.holder, epoch: row?.epoch}, 'rates: The lease of the rate allocator changed its holder or epoch.');
				// A new allocator grants little until all hosts have claimed, so this host claims immediately.
				claimedAt = Number.NEGATIVE_INFINITY;
			}

			const isFirst = fleet === undefined;
			fleet = newer;
			vacantSince = row === undefined ? vacantSince ?? now().steady : undefined;
			if (isNew || isFirst) {
				step();
			}
		},
		step,
	};
}
