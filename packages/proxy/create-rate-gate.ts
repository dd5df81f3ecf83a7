import {setTimeout as sleep} from 'node:timers/promises';
import {
	addLoan, chooseReserveShare, createPurse, createRefusal, findHome, findProvenAt, resultCodes, settlePurse, spendUnits,
	takeUnits, type AdmittedRequest, type HostState, type Purse, type TokenBucket,
} from '@sapphirefall/decisions';
import type {Metrics} from '@sapphirefall/operators';
import type {HostFile} from '@sapphirefall/settings';
import type {BucketHomes} from './bucket-homes.ts';
import type {FindPeer} from './find-peer.ts';
import type {RateGate} from './rate-gate.ts';

type Options = {
	readonly self: string;
	/** Names this process; another one after a restart. */
	readonly owner: string;
	readonly settings: HostFile['rate'];
	readonly readState: () => HostState;
	readonly findPeer: FindPeer;
	/** Lends units when this host is the home itself. */
	readonly lend: BucketHomes['lend'];
	readonly metrics: Metrics;
	readonly now: () => number;
};

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
	const purses = new Map<string, Purse>();
	const reserves = new Map<string, TokenBucket>();
	const borrowing = new Map<string, Promise<Borrowed>>();

	const isProven = () => now() - findProvenAt(options.readState()) <= settings.proofLimit;

	const findLimit = (workspace: string) =>
		options.readState().configuration.workspaces[workspace] ?? {rate: 0, burst: 0};

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
			const granted = home === self ? options.lend(asked) : await options.findPeer(home ?? '')?.borrow(asked);
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
