import {setTimeout as sleep} from 'node:timers/promises';
import {
	addLoan, chooseReserveShare, createPurse, createRefusal, findHome, findProvenAt, lendUnits, resultCodes, settlePurse, spendUnits, takeUnits,
	type AdmittedRequest, type HomeBucket, type HostState, type Purse, type TokenBucket,
} from '@sapphirefall/decisions';
import type {BorrowAsked, BorrowGranted} from '@sapphirefall/hosts';
import type {Metrics} from '@sapphirefall/operators';
import type {HostFile} from '@sapphirefall/settings';
import type {FindPeer} from './find-peer.ts';
import type {RateGate} from './rate-gate.ts';

type Options = {
	readonly self: string;
	/** Names this process; another one after a restart. */
	readonly owner: string;
	readonly settings: HostFile['rate'];
	readonly readState: () => HostState;
	readonly findPeer: FindPeer;
	readonly metrics: Metrics;
	readonly now: () => number;
};

type Home = {
	/** Since when this host has been the home without a break, in monotonic milliseconds. */
	readonly since: number;
	bucket: HomeBucket;
};

/** Share by which a home outwaits a loan, so that a borrower with a slower clock has stopped before. */
const driftMargin = 1.1;

/** Milliseconds before the next request to a home that did not answer. */
const homeRetry = 100;

/** What came of asking the home, with the milliseconds after which to ask again. */
type Borrowed = {readonly isReached: boolean; readonly retryAfter: number};

const unreached: Borrowed = {isReached: false, retryAfter: homeRetry};

/**
 * Creates the gate that holds workspaces to their rates.
 *
 * A part of each rate lies with the workspace's home, which lends units for a short span. The rest is split
 * evenly over the roster, for when the home cannot be reached. Both parts hold only while this host can prove
 * that its roster is the newest, and a host that becomes a home waits until the one before it has stopped.
 */
export function createRateGate(options: Options): RateGate {
	const {self, settings, now} = options;
	const homes = new Map<string, Home>();
	const purses = new Map<string, Purse>();
	const reserves = new Map<string, TokenBucket>();
	const borrowing = new Map<string, Promise<Borrowed>>();

	const isProven = () => now() - findProvenAt(options.readState()) <= settings.proofLimit;

	/** Finds when a host that the newest roster made a home may begin to lend. */
	const findStart = () => options.readState().homesKnownAt + settings.proofLimit + (settings.loanSpan * driftMargin);

	const findLimit = (workspace: string) =>
		options.readState().configuration.workspaces[workspace] ?? {rate: 0, burst: 0};

	/** Finds the bucket of a workspace that this host may lend from now. */
	const findOwnHome = (workspace: string): Home | undefined => {
		const {roster} = options.readState();
		if (findHome(workspace, roster.homes) !== self) {
			return undefined;
		}

		const startsAt = findStart();
		const home = homes.get(workspace) ?? {since: startsAt, bucket: {level: 0, refilledAt: startsAt, loans: []}};
		homes.set(workspace, home);
		return isProven() && now() >= home.since ? home : undefined;
	};

	const lend = (asked: BorrowAsked): BorrowGranted | undefined => {
		const home = findOwnHome(asked.workspace);
		if (home === undefined) {
			return undefined;
		}

		const limit = findLimit(asked.workspace);
		const share = 1 - settings.reserve;
		const lent = lendUnits(home.bucket, {
			...asked,
			rate: limit.rate * share,
			burst: limit.burst * share,
			span: settings.loanSpan * driftMargin,
			now: now(),
		});
		home.bucket = lent.bucket;
		return {units: lent.units, span: settings.loanSpan, retryAfter: lent.retryAfter};
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

			await sleep(homeRetry); // eslint-disable-line no-await-in-loop -- attempts follow each other
		}
	};

	/** Asks the home for units. */
	const borrow = async (request: AdmittedRequest): Promise<Borrowed> => {
		const {workspace, cost} = request;
		const askedAt = now();
		const {purse, settled, id} = settlePurse(purses.get(workspace) ?? createPurse(askedAt));
		const wanted = cost + (purse.demand * settings.prefetch / 1000);
		const asked = {
			host: options.owner, id, workspace, needed: cost, wanted, settled,
		};
		purses.set(workspace, purse);
		const home = findHome(workspace, options.readState().roster.homes);
		options.metrics.borrows.inc({place: home === self ? 'own' : 'other'});
		try {
			const granted = home === self ? lend(asked) : await options.findPeer(home ?? '')?.borrow(asked);
			if (granted === undefined) {
				return unreached;
			}

			const loan = {id, units: granted.units, expiresAt: askedAt + granted.span};
			purses.set(workspace, addLoan(purses.get(workspace) ?? createPurse(askedAt), loan));
			return {isReached: true, retryAfter: granted.retryAfter};
		} catch {
			return unreached;
		}
	};

	/** Asks once for all requests of a workspace that wait. */
	const borrowOnce = async (request: AdmittedRequest): Promise<Borrowed> => {
		const known = borrowing.get(request.workspace);
		if (known !== undefined) {
			return known;
		}

		const asking = borrow(request);
		borrowing.set(request.workspace, asking);
		try {
			return await asking;
		} finally {
			borrowing.delete(request.workspace);
		}
	};

	const spend = (request: AdmittedRequest, isFirst: boolean): boolean => {
		if (!isProven()) {
			return false;
		}

		const at = now();
		const spent = spendUnits(purses.get(request.workspace) ?? createPurse(at), {cost: request.cost, isFirst, now: at});
		purses.set(request.workspace, spent.purse);
		return spent.isSpent;
	};

	/** Spends from this host's even share, which a host that is cut off keeps for a while. */
	const spendReserve = (request: AdmittedRequest): boolean => {
		const state = options.readState();
		const at = now();
		const share = settings.reserve * chooseReserveShare(state.rosterHistory, {self, span: settings.reserveSpan, now: at});
		if (share === 0 || at - findProvenAt(state) > settings.reserveSpan) {
			return false;
		}

		const limit = findLimit(request.workspace);
		const taken = takeUnits(reserves.get(request.workspace), {
			cost: request.cost, rate: limit.rate * share, burst: limit.burst * share, now: at,
		});
		reserves.set(request.workspace, taken.bucket);
		return taken.isTaken;
	};

	return {
		lend,
		isReady: () => isProven() && now() >= findStart(),
		followRoster() {
			const {roster} = options.readState();
			for (const [workspace, home] of homes) {
				if (findHome(workspace, roster.homes) !== self) {
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

			const taken = loans.map(({left, ...loan}) => ({...loan, expiresAt: at + left}));
			homes.set(workspace, {since: at, bucket: {level, refilledAt: at, loans: taken}});
			return true;
		},
		async take(request) {
			let latest = Math.min(request.deadline, now() + settings.longestWait);
			let isFirst = true;
			for (;;) {
				if (spend(request, isFirst)) {
					return undefined;
				}

				isFirst = false;
				const {isReached, retryAfter} = await borrowOnce(request); // eslint-disable-line no-await-in-loop -- the answer decides
				if (spend(request, isFirst) || (retryAfter > 0 && spendReserve(request))) {
					return undefined;
				}

				// A home that is not reached says nothing about the rate: the request waits for the next one, whose
				// bucket starts empty.
				latest = isReached ? latest : request.deadline;
				const pause = Math.max(1, retryAfter);
				if (now() + pause > latest) {
					return createRefusal(resultCodes.rateExceeded, {
						reason: isReached ? 'the workspace is above its rate' : 'the home of the workspace cannot be reached',
						retryAfter: pause,
					});
				}

				await sleep(pause); // eslint-disable-line no-await-in-loop -- the units are not there before
			}
		},
	};
}
