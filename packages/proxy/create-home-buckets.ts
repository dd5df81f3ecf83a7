import {setTimeout as sleep} from 'node:timers/promises';
import {
	findHome, findStandby, isRosterConfirmed, lendUnits, type HomeBucket, type HostState,
} from '@sapphirefall/decisions';
import type {LoanRequest, LoanGrant} from '@sapphirefall/hosts';
import type {HostFile} from '@sapphirefall/settings';
import type {HomeBuckets} from './home-buckets.ts';
import {driftMargin} from './drift-margin.ts';
import type {FindPeer} from './find-peer.ts';

type Options = {
	readonly self: string;
	readonly settings: HostFile['rate'];
	readonly readState: () => HostState;
	readonly findPeer: FindPeer;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
};

/** A bucket with monotonic times in milliseconds. */
type OwnBucket = {
	/** When the standby host was last asked to renew its loan. */
	renewalRequestedAt: number;
	/** From when this host may lend from the bucket. */
	readonly lendsFrom: number;
	bucket: HomeBucket;
};

/** Renewals per span of a standby loan that are requested while the workspace is in use. */
const renewalsPerStandbySpan = 4;

/** Milliseconds between two attempts to hand over a bucket. */
const handoverRetryMs = 100;

/**
 * Creates the token buckets of the workspaces whose home host this host is.
 *
 * A new home host lends only after the previous one must have stopped and its loans have expired, or at once when the
 * previous home host hands over the bucket.
 */
export function createHomeBuckets(options: Options): HomeBuckets {
	const {self, settings, now} = options;
	const buckets = new Map<string, OwnBucket>();

	const isRosterCurrent = () => isRosterConfirmed(options.readState(), {maxAgeMs: settings.proofLimit, now: now()});

	/**
	 * Finds the monotonic time from which a host that the newest roster made a home host may lend.
	 *
	 * By then the previous home host's confirmation of its roster is older than `proofLimit`, and its loans have expired.
	 */
	const findLendsFrom = () => options.readState().homesKnownAt + settings.proofLimit + (settings.loanSpan * driftMargin);

	/** Finds the part of a workspace's rate and burst that its home host lends, and the units that its standby host may borrow. */
	const findLimit = (workspace: string) => {
		const {rate, burst} = options.readState().configuration.workspaces.get(workspace) ?? {rate: 0, burst: 0};
		const share = 1 - settings.reserve;
		return {rate: rate * share, burst: burst * share, standby: burst * share * settings.standby};
	};

	/**
	 * Creates the bucket of a new home host.
	 *
	 * The previous home host may have left a loan with its standby host, so the bucket counts a full standby loan as open
	 * until that loan must have expired.
	 */
	const createBucket = (workspace: string, lendsFrom: number): HomeBucket => ({
		level: 0,
		refilledAt: lendsFrom,
		loans: [{
			host: '', id: 0, units: findLimit(workspace).standby, expiresAt: lendsFrom + (settings.standbySpan * driftMargin),
		}],
	});

	/** Finds the bucket of a workspace, if this host may lend from it now. */
	const findLendableBucket = (workspace: string): OwnBucket | undefined => {
		const {roster} = options.readState();
		if (findHome(workspace, roster.homes) !== self) {
			return undefined;
		}

		const lendsFrom = findLendsFrom();
		const own = buckets.get(workspace) ?? {lendsFrom, renewalRequestedAt: -Infinity, bucket: createBucket(workspace, lendsFrom)};
		buckets.set(workspace, own);
		return isRosterCurrent() && now() >= own.lendsFrom ? own : undefined;
	};

	/** Asks the standby host to renew its loan, at most `renewalsPerStandbySpan` times per span. */
	const requestRenewal = async (workspace: string, own: OwnBucket) => {
		if (settings.standby === 0 || now() - own.renewalRequestedAt < settings.standbySpan / renewalsPerStandbySpan) {
			return;
		}

		own.renewalRequestedAt = now();
		const standby = findStandby(workspace, options.readState());
		try {
			await options.findPeer(standby ?? '')?.requestStandby(workspace);
		} catch {
			// A later loan from this bucket requests the renewal again.
		}
	};

	const lend = (request: LoanRequest): LoanGrant | undefined => {
		const own = findLendableBucket(request.workspace);
		if (own === undefined) {
			return undefined;
		}

		const {rate, burst, standby} = findLimit(request.workspace);
		if (rate === 0) {
			return undefined;
		}

		const validMs = request.isStandby ? settings.standbySpan : settings.loanSpan;
		const lent = lendUnits(own.bucket, {
			...request,
			wanted: request.isStandby ? standby : request.wanted,
			rate,
			burst,
			expiresAfterMs: validMs * driftMargin,
			now: now(),
		});
		own.bucket = lent.bucket;
		if (!request.isStandby) {
			void requestRenewal(request.workspace, own);
		}

		return {units: lent.units, validMs, retryAfter: lent.retryAfter};
	};

	/**
	 * Hands over a bucket to its new home host.
	 *
	 * Gives up after `proofLimit`; the new home host then waits until the loans have expired.
	 */
	const handOverBucket = async (workspace: string, bucket: HomeBucket) => {
		const giveUpAt = now() + settings.proofLimit;
		while (now() < giveUpAt) {
			const {roster} = options.readState();
			const loans = bucket.loans.map(({expiresAt, ...loan}) => ({...loan, remainingMs: Math.max(0, expiresAt - now())}));
			try {
				const peer = options.findPeer(findHome(workspace, roster.homes) ?? '');
				// eslint-disable-next-line no-await-in-loop -- attempts run one after the other
				if (await peer?.handOver({
					workspace, head: roster.head, level: bucket.level, loans,
				})) {
					return;
				}
			} catch {
				// The new home host may answer a later attempt.
			}

			await sleep(handoverRetryMs); // eslint-disable-line no-await-in-loop -- attempts run one after the other
		}
	};

	return {
		lend,
		isReady: () => isRosterCurrent() && now() >= findLendsFrom(),
		followRoster(before, after) {
			if (after.epoch > before.epoch + 1) {
				buckets.clear();
			}

			for (const [workspace, own] of buckets) {
				if (findHome(workspace, after.homes) !== self) {
					buckets.delete(workspace);
					if (now() >= own.lendsFrom) {
						void handOverBucket(workspace, own.bucket);
					}
				}
			}
		},
		acceptHandover({workspace, head, level, loans}) {
			const {roster} = options.readState();
			const at = now();
			if (head !== roster.head || findHome(workspace, roster.homes) !== self) {
				return false;
			}

			const known = buckets.get(workspace);
			if (known !== undefined && at >= known.lendsFrom) {
				// This host lends already, after an earlier handover whose answer was lost or after the wait. Its own bucket
				// stays, as it counts the loans made since.
				return true;
			}

			const openLoans = loans.map(({remainingMs, ...loan}) => ({...loan, expiresAt: at + remainingMs}));
			buckets.set(workspace, {lendsFrom: at, renewalRequestedAt: -Infinity, bucket: {level, refilledAt: at, loans: openLoans}});
			return true;
		},
	};
}
