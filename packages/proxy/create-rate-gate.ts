import {setTimeout as sleep} from 'node:timers/promises';
import {
	addLoan, chooseReserveShare, createPurse, createRefusal, findHome, findProvenAt, findStandby, isRosterProven, resultCodes, settlePurse, spendUnits,
	takeUnits, type AdmittedRequest, type HostState, type Purse, type TokenBucket,
} from '@sapphirefall/decisions';
import type {BorrowAsked, BorrowGranted} from '@sapphirefall/hosts';
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
	/** Lends units when this host is the home or its standby itself. */
	readonly lend: BucketHomes['lend'];
	readonly metrics: Metrics;
	readonly now: () => number;
};

/** Milliseconds before the next request to a home that did not answer. */
const homeRetry = 100;

/** Milliseconds after the loss of a home within which the next one makes up for what was not served. */
const recoverySpan = 3000;

/** Milliseconds before the next request to a standby that had nothing to lend. */
const standbyRetry = 250;

type Asked = Omit<BorrowAsked, 'host' | 'isStandby'>;

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
	/** Until when requests of a workspace wait to their deadlines, since its home was lost. */
	const patientUntil = new Map<string, number>();
	/** Until when the standby of a workspace is not asked again. */
	const emptyUntil = new Map<string, number>();
	const borrowing = new Map<string, Promise<Borrowed>>();

	const isProven = () => isRosterProven(options.readState(), {proofLimit: settings.proofLimit, now: now()});

	const findLimit = (workspace: string) =>
		options.readState().configuration.workspaces[workspace] ?? {rate: 0, burst: 0};

	/** Asks a host for units, and puts them into the purse; undefined when it does not answer or does not lend. */
	const askLender = async (lender: string | undefined, asked: Asked): Promise<BorrowGranted | undefined> => {
		const askedAt = now();
		const isAlive = options.readState().membership.members.get(lender ?? '')?.isAlive ?? true;
		if (lender === undefined || !isAlive) {
			return undefined;
		}

		options.metrics.borrows.inc({place: lender === self ? 'own' : 'other'});
		try {
			const request = {...asked, host: options.owner, isStandby: false};
			const granted = lender === self ? options.lend(request) : await options.findPeer(lender)?.borrow(request);
			const loan = {id: asked.id, units: granted?.units ?? 0, expiresAt: askedAt + (granted?.span ?? 0)};
			purses.set(asked.workspace, addLoan(purses.get(asked.workspace) ?? createPurse(askedAt), loan));
			return granted;
		} catch {
			return undefined;
		}
	};

	/** Asks the home for units, and its standby when the home does not give them. */
	const borrow = async ({workspace, cost}: AdmittedRequest): Promise<Borrowed> => {
		const {roster, membership} = options.readState();
		const findZone = (host: string) => membership.hosts.get(host)?.zone;
		const {purse, settled, id} = settlePurse(purses.get(workspace) ?? createPurse(now()));
		purses.set(workspace, purse);
		const wanted = cost + (purse.demand * settings.prefetch / 1000);
		const asked = {
			id, workspace, needed: cost, wanted, settled,
		};
		const granted = await askLender(findHome(workspace, roster.homes), asked);
		if ((granted?.units ?? 0) > 0) {
			return {isReached: true, retryAfter: 0};
		}

		const answer = granted === undefined ? unreached : {isReached: true, retryAfter: granted.retryAfter};
		if (now() < (emptyUntil.get(workspace) ?? 0)) {
			return answer;
		}

		const second = settlePurse(purses.get(workspace) ?? createPurse(now()));
		purses.set(workspace, second.purse);
		const standby = findStandby(workspace, {homes: roster.homes, findZone});
		const lent = await askLender(standby, {...asked, id: second.id, settled: []});
		if ((lent?.units ?? 0) > 0) {
			return {isReached: true, retryAfter: 0};
		}

		emptyUntil.set(workspace, now() + standbyRetry);
		return answer;
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
			const usual = Math.min(request.deadline, now() + settings.longestWait);
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

				if (!isReached) {
					patientUntil.set(request.workspace, now() + recoverySpan);
				}

				// A home that is not reached says nothing about the rate, and the bucket of the next one starts empty.
				const latest = now() < (patientUntil.get(request.workspace) ?? 0) ? request.deadline : usual;
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
