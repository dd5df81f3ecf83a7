import {
	addLoan, createLoanAccount, findHome, findStandby, isRosterConfirmed, settleLoanAccount, spendUnits,
	type AdmittedRequest, type HostState, type LoanAccount,
} from '@sapphirefall/decisions';
import type {LoanRequest, LoanGrant} from '@sapphirefall/hosts';
import type {Metrics} from '@sapphirefall/operators';
import type {HostFile} from '@sapphirefall/settings';
import type {BorrowOutcome} from './borrow-outcome.ts';
import type {Borrower} from './borrower.ts';
import type {HomeBuckets} from './home-buckets.ts';
import type {FindPeer} from './find-peer.ts';

type Options = {
	readonly self: string;
	/** Identifies this process; a restarted host is another one. */
	readonly owner: string;
	readonly settings: HostFile['rate'];
	readonly readState: () => HostState;
	readonly findPeer: FindPeer;
	/** Lends units from this host, when it is the home or standby host itself. */
	readonly lend: HomeBuckets['lend'];
	readonly metrics: Metrics;
	/** Returns monotonic milliseconds. */
	readonly now: () => number;
};

/** Milliseconds before the next call to a home host that did not answer. */
const homeRetryMs = 100;

/** Milliseconds before the next call to a standby host that lent nothing. */
const standbyRetryMs = 250;

/** A loan request without the fields that are the same for all requests of this host. */
type LoanRequestContent = Omit<LoanRequest, 'host' | 'isStandby'>;

const notAnswered: BorrowOutcome = {hasAnswer: false, retryAfter: homeRetryMs};

/**
 * Creates the borrower, which borrows units from the home hosts of workspaces and spends them.
 *
 * Units may be spent only while this host's roster was confirmed to be the newest within `proofLimit`: a new home host
 * waits that long before it lends.
 */
export function createBorrower(options: Options): Borrower {
	const {self, settings, now} = options;
	const accounts = new Map<string, LoanAccount>();
	/** Monotonic milliseconds until which the standby host of a workspace is not asked again, by workspace. */
	const standbyBackoffUntil = new Map<string, number>();
	/** Calls in flight, by workspace. */
	const inFlight = new Map<string, Promise<BorrowOutcome>>();

	const isRosterCurrent = () => isRosterConfirmed(options.readState(), {maxAgeMs: settings.proofLimit, now: now()});

	const readAccount = (workspace: string) => accounts.get(workspace) ?? createLoanAccount(now());

	/** Borrows units from a host and adds the loan to the account; undefined when the host does not answer or may not lend. */
	const borrowFrom = async (lender: string | undefined, request: LoanRequestContent): Promise<LoanGrant | undefined> => {
		const requestedAt = now();
		const isAlive = options.readState().membership.members.get(lender ?? '')?.isAlive ?? true;
		if (lender === undefined || !isAlive) {
			return undefined;
		}

		options.metrics.borrows.inc({place: lender === self ? 'own' : 'other'});
		try {
			const fullRequest = {...request, host: options.owner, isStandby: false};
			const granted = lender === self ? options.lend(fullRequest) : await options.findPeer(lender)?.borrow(fullRequest);
			const loan = {id: request.id, units: granted?.units ?? 0, expiresAt: requestedAt + (granted?.validMs ?? 0)};
			accounts.set(request.workspace, addLoan(readAccount(request.workspace), loan));
			return granted;
		} catch {
			return undefined;
		}
	};

	/** Borrows units from the home host, or from the standby host when the home host lends none. */
	const borrowFromAny = async ({workspace, cost}: AdmittedRequest): Promise<BorrowOutcome> => {
		const state = options.readState();
		const {account, settled, id} = settleLoanAccount(readAccount(workspace));
		accounts.set(workspace, account);
		// `demand` decays with a time constant of 1 s, so a thousandth of it is the demand per millisecond.
		const wanted = cost + (account.demand * settings.prefetch / 1000);
		const request = {
			id, workspace, needed: cost, wanted, settled,
		};
		const granted = await borrowFrom(findHome(workspace, state.roster.homes), request);
		if ((granted?.units ?? 0) > 0) {
			return {hasAnswer: true, retryAfter: 0};
		}

		const answer = granted === undefined ? notAnswered : {hasAnswer: true, retryAfter: granted.retryAfter};
		if (now() < (standbyBackoffUntil.get(workspace) ?? 0)) {
			return answer;
		}

		const standbySettlement = settleLoanAccount(readAccount(workspace));
		accounts.set(workspace, standbySettlement.account);
		const lent = await borrowFrom(findStandby(workspace, state), {...request, id: standbySettlement.id, settled: []});
		if ((lent?.units ?? 0) > 0) {
			return {hasAnswer: true, retryAfter: 0};
		}

		standbyBackoffUntil.set(workspace, now() + standbyRetryMs);
		return answer;
	};

	const borrow = async (request: AdmittedRequest): Promise<BorrowOutcome> => {
		const pending = inFlight.get(request.workspace);
		if (pending !== undefined) {
			return pending;
		}

		const outcome = borrowFromAny(request);
		inFlight.set(request.workspace, outcome);
		try {
			return await outcome;
		} finally {
			inFlight.delete(request.workspace);
		}
	};

	const spend = (request: AdmittedRequest, isFirst: boolean): boolean => {
		if (!isRosterCurrent()) {
			return false;
		}

		const spent = spendUnits(readAccount(request.workspace), {cost: request.cost, isFirst, now: now()});
		accounts.set(request.workspace, spent.account);
		return spent.isSpent;
	};

	return {spend, borrow};
}
