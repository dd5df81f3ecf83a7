import type {createRateAllocator} from './create-rate-allocator.ts';
import {findElapsed} from './find-elapsed.ts';
import {findNextEpoch} from './find-next-epoch.ts';
import {findRateAllocatorRank} from './find-rate-allocator-rank.ts';
import type {FleetPeer} from './fleet-peer.ts';
import type {FleetRows} from './fleet-rows.ts';
import type {Instant} from './instant.ts';
import {isAllocatorLeaseDue} from './is-allocator-lease-due.ts';
import type {RateAllocatorRow} from './rate-allocator-row.ts';
import type {SessionLog} from './session-log.ts';
import type {Store} from './store.ts';
import {takeRateAllocatorLease} from './take-rate-allocator-lease.ts';

type Options = {
	/** Name of this host. */
	readonly self: string;
	readonly partition: number;
	readonly incarnation: number;
	/** When this process started, in milliseconds of the steady clock. */
	readonly startedAt: number;
	readonly findFleet: () => FleetRows | undefined;
	/** Moment as of which the store confirmed the fleet's rows. */
	readonly findFleetConfirmedAt: () => Instant | undefined;
	readonly findPeer: (host: string) => FleetPeer | undefined;
	/** Sends the holder of the lease one more claim; resolves to whether it answers in time. */
	readonly checkHolder: (row: RateAllocatorRow) => Promise<boolean>;
	/** Prepares the rate allocator of this host for the lease. */
	readonly expectLease: ReturnType<typeof createRateAllocator>['expectLease'];
	readonly store: Store;
	readonly now: () => Instant;
	readonly log: SessionLog;
};

/** The attempts of a host to take the lease of a partition's rate allocator. */
type RateLeaseAttempts = {
	/**
	 * Whether this host is to take the lease now: its own process has started again since it took the lease, or it is this
	 * host's turn as nobody holds the lease or its holder has left claims unanswered since a time, in milliseconds of the
	 * steady clock.
	 */
	readonly isDue: (row: RateAllocatorRow | undefined, since: number | undefined) => boolean;
	/** Takes the lease unless another host holds it that answers after all. */
	readonly take: (row: RateAllocatorRow | undefined) => Promise<void>;
};

/** Maximum staleness in milliseconds of the fleet's rows at which a host may take the lease. */
const maxFleetAgeMs = 1500;

/** Minimum milliseconds between two attempts to take the lease after the same epoch, so that this host sees the outcome of the first. */
const retryIntervalMs = 600;

/** Creates the attempts of a host to take the lease of a partition's rate allocator. */
export function createRateLeaseAttempts(options: Options): RateLeaseAttempts {
	const {
		self, partition, incarnation, startedAt, findFleet, now, log,
	} = options;
	/** The epoch before the last attempt, and when that was, in milliseconds of the steady clock. */
	let last = {epoch: -1, at: Number.NEGATIVE_INFINITY};

	const isTurn = (row: RateAllocatorRow | undefined, since: number | undefined): boolean => {
		const fleet = findFleet();
		const confirmedAt = options.findFleetConfirmedAt();
		if (fleet === undefined || confirmedAt === undefined || findElapsed(confirmedAt, now()) >= maxFleetAgeMs || row?.holder === self) {
			return false;
		}

		return isAllocatorLeaseDue({
			rank: findRateAllocatorRank({
				self, partition, hosts: [...fleet.hosts.keys()], lost: row?.holder,
			}),
			holder: row === undefined ? (fleet.rateAllocators.has(partition) ? 'earlierEra' : 'none') : 'present',
			since,
			now: now().steady,
		});
	};

	return {
		isDue(row, since) {
			const hasTried = last.epoch === (row?.epoch ?? 0) && now().steady - last.at < retryIntervalMs;
			const isRestarted = row?.holder === self && row.incarnation !== incarnation;
			return !hasTried && (isRestarted || isTurn(row, since));
		},
		async take(row) {
			if (row !== undefined && row.holder !== self && await options.checkHolder(row)) {
				log.info({partition, holder: row.holder, epoch: row.epoch}, 'rates: The rate allocator answers again and keeps its lease.');
				return;
			}

			last = {epoch: row?.epoch ?? 0, at: now().steady};
			const fleet = findFleet();
			const stored = fleet?.rateAllocators.get(partition);
			const epoch = findNextEpoch(stored?.epoch ?? 0, fleet?.era ?? 1);
			options.expectLease({
				epoch, previous: row?.holder === self ? {kind: 'ownProcess', endedBefore: startedAt} : {kind: 'otherHost'},
			});
			await takeRateAllocatorLease(stored, {...options, epoch, hosts: [...fleet?.hosts.keys() ?? []]});
		},
	};
}
