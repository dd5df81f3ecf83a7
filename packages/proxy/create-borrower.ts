import {
	addLoan, createLoanAccount, findHome, findStandby, isRosterProven, settleLoanAccount, spendUnits,
	type AdmittedRequest, type HostState, type LoanAccount,
} from '@sapphirefall/decisions';
import type {BorrowAsked, BorrowGranted} from '@sapphirefall/hosts';
import type {Metrics} from '@sapphirefall/operators';
import type {HostFile} from '@sapphirefall/settings';
import type {BorrowOutcome} from './borrow-outcome.ts';
import type {Borrower} from './borrower.ts';
import type {HomeBuckets} from './home-buckets.ts';
import type {FindPeer} from './find-peer.ts';

type Options = {
	readonly self: string;
	/** Names this process; another one after a restart. */
	readonly owner: string;
	readonly settings: HostFile['rate'];
	readonly readState: () => HostState;
	readonly findPeer: FindPeer;
	/** Lends units when this host is the home or its standby itself. */
	readonly lend: HomeBuckets['lend'];
	readonly metrics: Metrics;
	readonly now: () => number;
};

/** Milliseconds before the next request to a home that did not answer. */
const homeRetry = 100;

/** Milliseconds before the next request to a standby that had nothing to lend. */
const standbyRetry = 250;

type Asked = Omit<BorrowAsked, 'host' | 'isStandby'>;

const unreached: BorrowOutcome = {hasAnswer: false, retryAfter: homeRetry};

/**
 * Creates what borrows units from the homes of workspaces, and spends them.
 *
 * Units may be spent only while this host can prove that its roster is the newest.
 */
export function createBorrower(options: Options): Borrower {
	const {self, settings, now} = options;
	const purses = new Map<string, LoanAccount>();
	/** Until when the standby of a workspace is not asked again. */
	const emptyUntil = new Map<string, number>();
	const borrowing = new Map<string, Promise<BorrowOutcome>>();

	const isProven = () => isRosterProven(options.readState(), {proofLimit: settings.proofLimit, now: now()});

	const readPurse = (workspace: string) => purses.get(workspace) ?? createLoanAccount(now());

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
			purses.set(asked.workspace, addLoan(readPurse(asked.workspace), loan));
			return granted;
		} catch {
			return undefined;
		}
	};

	/** Asks the home for units, and its standby when the home does not give them. */
	const borrowNow = async ({workspace, cost}: AdmittedRequest): Promise<BorrowOutcome> => {
		const state = options.readState();
		const {account: purse, settled, id} = settleLoanAccount(readPurse(workspace));
		purses.set(workspace, purse);
		const wanted = cost + (purse.demand * settings.prefetch / 1000);
		const asked = {
			id, workspace, needed: cost, wanted, settled,
		};
		const granted = await askLender(findHome(workspace, state.roster.homes), asked);
		if ((granted?.units ?? 0) > 0) {
			return {hasAnswer: true, retryAfter: 0};
		}

		const answer = granted === undefined ? unreached : {isReached: true, retryAfter: granted.retryAfter};
		if (now() < (emptyUntil.get(workspace) ?? 0)) {
			return answer;
		}

		const second = settleLoanAccount(readPurse(workspace));
		purses.set(workspace, second.account);
		const lent = await askLender(findStandby(workspace, state), {...asked, id: second.id, settled: []});
		if ((lent?.units ?? 0) > 0) {
			return {hasAnswer: true, retryAfter: 0};
		}

		emptyUntil.set(workspace, now() + standbyRetry);
		return answer;
	};

	const borrow = async (request: AdmittedRequest): Promise<BorrowOutcome> => {
		const known = borrowing.get(request.workspace);
		if (known !== undefined) {
			return known;
		}

		const asking = borrowNow(request);
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

		const spent = spendUnits(readPurse(request.workspace), {cost: request.cost, isFirst, now: now()});
		purses.set(request.workspace, spent.account);
		return spent.isSpent;
	};

	return {spend, borrow};
}
