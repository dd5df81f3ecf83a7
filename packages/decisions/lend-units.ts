import type {HomeBucket} from './home-bucket.ts';

type Asked = {
	/** Process that borrows; another one after a restart. */
	readonly host: string;
	/** Number that the borrower gives the loan, a new one each time. */
	readonly id: number;
	/** Units that the host would like. */
	readonly wanted: number;
	/** Units of earlier loans that the host has used since it last asked, by the loan's number. */
	readonly used: ReadonlyArray<{readonly id: number; readonly units: number}>;
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
	/** Milliseconds until the wanted units would be there; 0 when they were lent. */
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
	const loans = settleUsed(bucket.loans.filter(({expiresAt}) => expiresAt > now), asked);
	const elapsed = Math.max(0, now - bucket.refilledAt);
	const refilled = bucket.level + (elapsed * rate / millisecondsPerSecond);
	const level = Math.max(0, Math.min(burst - sumUnits(loans), refilled));
	const units = Math.min(asked.wanted, level);
	const lent = units > 0
		? [...loans, {
			host: asked.host, id: asked.id, units, expiresAt: now + asked.span,
		}]
		: loans;
	return {
		bucket: {level: level - units, refilledAt: now, loans: lent},
		units,
		retryAfter: Math.ceil((asked.wanted - units) * millisecondsPerSecond / rate),
	};
}

function sumUnits(loans: HomeBucket['loans']): number {
	return loans.reduce((sum, {units}) => sum + units, 0);
}

/** Takes off the loans of a host what it has used of each; a loan that is gone has been settled already. */
function settleUsed(loans: HomeBucket['loans'], {host, used}: Asked): HomeBucket['loans'] {
	const settled = new Map(used.map(({id, units}) => [id, units]));
	return loans
		.map(loan => loan.host === host ? {...loan, units: loan.units - (settled.get(loan.id) ?? 0)} : loan)
		.filter(({units}) => units > 0);
}
