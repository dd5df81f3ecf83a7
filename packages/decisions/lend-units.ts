import {chooseLoanSize} from './choose-loan-size.ts';
import type {HomeBucket} from './home-bucket.ts';

type Asked = {
	/** Process that borrows; another one after a restart. */
	readonly host: string;
	/** Number that the borrower gives the loan, a new one each time. */
	readonly id: number;
	/** Units that the host cannot do without; less is not lent. */
	readonly needed: number;
	/** Units that the host would like. */
	readonly wanted: number;
	/** What the host has used of earlier loans since it last asked, and gives back of them, by the loan's number. */
	readonly settled: ReadonlyArray<{readonly id: number; readonly used: number; readonly returned: number}>;
	/** Units a second. */
	readonly rate: number;
	/** Units. */
	readonly burst: number;
	/** Milliseconds after which the home takes the loan for used up; longer than the host may use it. */
	readonly span: number;
	readonly now: number;
};

type Lent = {
	readonly bucket: HomeBucket;
	readonly units: number;
	/** Milliseconds until the needed units would be there; 0 when they were lent. */
	readonly retryAfter: number;
};

const millisecondsPerSecond = 1000;

/**
 * Lends units of a workspace's bucket to a host.
 *
 * What can be lent and what is lent never exceed the burst together. So over any interval the units used on
 * all hosts are at most the burst plus the rate times the interval, whatever answers are lost and hosts die.
 * A loan that expires counts as used.
 *
 * @param bucket The bucket at the home.
 * @param asked What the host asks for, the limit in force, and monotonic milliseconds.
 */
export function lendUnits(bucket: HomeBucket, asked: Asked): Lent {
	const {now, rate, burst} = asked;
	const open = bucket.loans.filter(({expiresAt}) => expiresAt > now);
	const loans = settleLoans(open, asked);
	const elapsed = Math.max(0, now - bucket.refilledAt);
	const refilled = bucket.level + sumReturned(open, asked) + (elapsed * rate / millisecondsPerSecond);
	const level = Math.max(0, Math.min(burst - sumUnits(loans), refilled));
	const units = chooseLoanSize(level, asked);
	const lent = units > 0
		? [...loans, {
			host: asked.host, id: asked.id, units, expiresAt: now + asked.span,
		}]
		: loans;
	return {
		bucket: {level: level - units, refilledAt: now, loans: lent},
		units,
		retryAfter: units > 0 ? 0 : Math.ceil((asked.needed - level) * millisecondsPerSecond / rate),
	};
}

function sumUnits(loans: HomeBucket['loans']): number {
	return loans.reduce((sum, {units}) => sum + units, 0);
}

/** Takes off the loans of a host what it has used and gives back; a loan that is gone has been settled already. */
function settleLoans(loans: HomeBucket['loans'], {host, settled}: Asked): HomeBucket['loans'] {
	const taken = new Map(settled.map(({id, used, returned}) => [id, used + returned]));
	return loans
		.map(loan => loan.host === host ? {...loan, units: loan.units - (taken.get(loan.id) ?? 0)} : loan)
		.filter(({units}) => units > 0);
}

/** Sums what a host gives back of loans that are still open. */
function sumReturned(loans: HomeBucket['loans'], {host, settled}: Asked): number {
	const openIds = new Set(loans.filter(loan => loan.host === host).map(({id}) => id));
	let sum = 0;
	for (const {id, returned} of settled) {
		sum += openIds.has(id) ? returned : 0;
	}

	return sum;
}
