import {chooseLoanSize} from './choose-loan-size.ts';
import type {HomeBucket} from './home-bucket.ts';

type LoanRequest = {
	/** Process that borrows; a restarted host is another one. */
	readonly host: string;
	/** Number that the borrower assigns to the loan, a new one each time. */
	readonly id: number;
	/** Units without which the loan is of no use; fewer are not lent. */
	readonly needed: number;
	/** Units that the borrower would like. */
	readonly wanted: number;
	/** Units of earlier loans that the borrower has used since its last request, and units that it returns, by loan. */
	readonly settled: ReadonlyArray<{readonly id: number; readonly used: number; readonly returned: number}>;
	/** Units per second. */
	readonly rate: number;
	/** Capacity of the bucket in units. */
	readonly burst: number;
	/**
	 * Milliseconds after which the home host counts the loan as used. Longer than the borrower may use the loan, so
	 * that a borrower with a slower clock stops before.
	 */
	readonly expiresAfterMs: number;
	/** Monotonic milliseconds. */
	readonly now: number;
};

type LoanResult = {
	readonly bucket: HomeBucket;
	readonly units: number;
	/** Milliseconds until the bucket holds the needed units; 0 when they were lent. */
	readonly retryAfter: number;
};

const millisecondsPerSecond = 1000;

/**
 * Lends units of a workspace's bucket to a host.
 *
 * The units that can be lent and the units on loan never exceed the burst together. So over any interval the units
 * used on all hosts are at most the burst plus the rate times the interval, also when answers are lost and hosts
 * fail. A loan that expires counts as used.
 *
 * @param bucket The bucket at the home host.
 * @param request What the borrower asks for, the rate and burst in force, and the present time.
 * @returns The bucket afterwards, the units lent, and when to ask again.
 */
export function lendUnits(bucket: HomeBucket, request: LoanRequest): LoanResult {
	const {now, rate, burst} = request;
	const open = bucket.loans.filter(({expiresAt}) => expiresAt > now);
	const loans = settleLoans(open, request);
	const elapsed = Math.max(0, now - bucket.refilledAt);
	const refilled = bucket.level + sumReturned(open, request) + (elapsed * rate / millisecondsPerSecond);
	const level = Math.max(0, Math.min(burst - sumUnits(loans), refilled));
	const units = chooseLoanSize(level, request);
	const lent = units > 0
		? [...loans, {
			host: request.host, id: request.id, units, expiresAt: now + request.expiresAfterMs,
		}]
		: loans;
	return {
		bucket: {level: level - units, refilledAt: now, loans: lent},
		units,
		retryAfter: units > 0 ? 0 : Math.ceil((request.needed - level) * millisecondsPerSecond / rate),
	};
}

function sumUnits(loans: HomeBucket['loans']): number {
	return loans.reduce((sum, {units}) => sum + units, 0);
}

/** Subtracts the used and returned units of a host from its open loans; ignores loans that are no longer open. */
function settleLoans(loans: HomeBucket['loans'], {host, settled}: LoanRequest): HomeBucket['loans'] {
	const settledUnits = new Map(settled.map(({id, used, returned}) => [id, used + returned]));
	return loans
		.map(loan => loan.host === host ? {...loan, units: loan.units - (settledUnits.get(loan.id) ?? 0)} : loan)
		.filter(({units}) => units > 0);
}

/** Sums the units that a host returns of loans that are still open. */
function sumReturned(loans: HomeBucket['loans'], {host, settled}: LoanRequest): number {
	const openIds = new Set(loans.filter(loan => loan.host === host).map(({id}) => id));
	let sum = 0;
	for (const {id, returned} of settled) {
		sum += openIds.has(id) ? returned : 0;
	}

	return sum;
}
