import {setTimeout as sleep} from 'node:timers/promises';
import {
	findHome, findStandby, isRosterProven, lendUnits, type HomeBucket, type HostState,
} from '@sapphirefall/decisions';
import type {BorrowAsked, BorrowGranted} from '@sapphirefall/hosts';
import type {HostFile} from '@sapphirefall/settings';
import type {HomeBuckets} from './home-buckets.ts';
import {driftMargin} from './drift-margin.ts';
import type {FindPeer} from './find-peer.ts';

type Options = {
	readonly self: string;
	readonly settings: HostFile['rate'];
	readonly readState: () => HostState;
	readonly findPeer: FindPeer;
	readonly now: () => number;
};

type Home = {
	/** When the standby was last asked to keep a part, in monotonic milliseconds. */
	stoodAt: number;
	/** Since when this host has been the home without a break, in monotonic milliseconds. */
	readonly since: number;
	bucket: HomeBucket;
};

/** Times within its span that a standby is asked to renew its part, while the workspace is in use. */
const renewalsPerSpan = 4;

/** Milliseconds between two attempts to hand a bucket over. */
const handOverDelay = 100;

/**
 * Creates the keeper of the buckets whose home this host is.
 *
 * A host that becomes a home waits until the one before it has stopped, unless that one hands its bucket over.
 */
export function createHomeBuckets(options: Options): HomeBuckets {
	const {self, settings, now} = options;
	const homes = new Map<string, Home>();

	const isProven = () => isRosterProven(options.readState(), {proofLimit: settings.proofLimit, now: now()});

	/** Finds when a host that the newest roster made a home may begin to lend. */
	const findStart = () => options.readState().homesKnownAt + settings.proofLimit + (settings.loanSpan * driftMargin);

	/** Finds the part of a workspace's rate and burst that its home lends. */
	const findLimit = (workspace: string) => {
		const {rate, burst} = options.readState().configuration.workspaces[workspace] ?? {rate: 0, burst: 0};
		const share = 1 - settings.reserve;
		return {rate: rate * share, burst: burst * share, standby: burst * share * settings.standby};
	};

	/** Creates the bucket of a home that cannot know what the one before it left with its standby. */
	const createBucket = (workspace: string, startsAt: number): HomeBucket => ({
		level: 0,
		refilledAt: startsAt,
		loans: [{
			host: '', id: 0, units: findLimit(workspace).standby, expiresAt: startsAt + (settings.standbySpan * driftMargin),
		}],
	});

	/** Finds the bucket of a workspace that this host may lend from now. */
	const findOwnHome = (workspace: string): Home | undefined => {
		const {roster} = options.readState();
		if (findHome(workspace, roster.homes) !== self) {
			return undefined;
		}

		const startsAt = findStart();
		const home = homes.get(workspace) ?? {since: startsAt, stoodAt: -Infinity, bucket: createBucket(workspace, startsAt)};
		homes.set(workspace, home);
		return isProven() && now() >= home.since ? home : undefined;
	};

	/** Asks the standby now and then to keep a part of a bucket that is in use. */
	const askStandby = async (workspace: string, home: Home) => {
		if (settings.standby === 0 || now() - home.stoodAt < settings.standbySpan / renewalsPerSpan) {
			return;
		}

		home.stoodAt = now();
		const standby = findStandby(workspace, options.readState());
		try {
			await options.findPeer(standby ?? '')?.stand(workspace);
		} catch {
			// The next loan asks again.
		}
	};

	const lend = (asked: BorrowAsked): BorrowGranted | undefined => {
		const home = findOwnHome(asked.workspace);
		if (home === undefined) {
			return undefined;
		}

		const {rate, burst, standby} = findLimit(asked.workspace);
		if (rate === 0) {
			return undefined;
		}

		const span = asked.isStandby ? settings.standbySpan : settings.loanSpan;
		const lent = lendUnits(home.bucket, {
			...asked,
			wanted: asked.isStandby ? standby : asked.wanted,
			rate,
			burst,
			span: span * driftMargin,
			now: now(),
		});
		home.bucket = lent.bucket;
		if (!asked.isStandby) {
			void askStandby(asked.workspace, home);
		}

		return {units: lent.units, span, retryAfter: lent.retryAfter};
	};

	/** Hands a bucket over to its new home; gives up after a while, and the new home waits the loans out. */
	const handOver = async (workspace: string, bucket: HomeBucket) => {
		const givenUpAt = now() + settings.proofLimit;
		while (now() < givenUpAt) {
			const {roster} = options.readState();
			const loans = bucket.loans.map(({expiresAt, ...loan}) => ({...loan, left: Math.max(0, expiresAt - now())}));
			try {
				const peer = options.findPeer(findHome(workspace, roster.homes) ?? '');
				// eslint-disable-next-line no-await-in-loop -- attempts follow each other
				if (await peer?.handOver({
					workspace, head: roster.head, level: bucket.level, loans,
				})) {
					return;
				}
			} catch {
				// The new home may answer later.
			}

			await sleep(handOverDelay); // eslint-disable-line no-await-in-loop -- attempts follow each other
		}
	};

	return {
		lend,
		isReady: () => isProven() && now() >= findStart(),
		followRoster(before, after) {
			if (after.epoch > before.epoch + 1) {
				homes.clear();
			}

			for (const [workspace, home] of homes) {
				if (findHome(workspace, after.homes) !== self) {
					homes.delete(workspace);
					if (now() >= home.since) {
						void handOver(workspace, home.bucket);
					}
				}
			}
		},
		takeOver({workspace, head, level, loans}) {
			const {roster} = options.readState();
			const at = now();
			if (head !== roster.head || findHome(workspace, roster.homes) !== self) {
				return false;
			}

			const known = homes.get(workspace);
			if (known !== undefined && at >= known.since) {
				// The answer to the first hand-over was lost, or came after the wait: what was lent since counts.
				return true;
			}

			const taken = loans.map(({left, ...loan}) => ({...loan, expiresAt: at + left}));
			homes.set(workspace, {since: at, stoodAt: -Infinity, bucket: {level, refilledAt: at, loans: taken}});
			return true;
		},
	};
}
