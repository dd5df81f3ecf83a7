import type {StandbyLoan} from './standby-loan.ts';

type Asked = {
	/** Units that the host cannot do without; neither less nor more is lent. */
	readonly needed: number;
	/** Greatest milliseconds for which units are lent. */
	readonly longestSpan: number;
	/** Share by which a loan ends before the stock, so that a borrower with a slower clock has stopped before. */
	readonly driftMargin: number;
	readonly now: number;
};

/**
 * Lends units of a standby's stock.
 *
 * The home has taken the stock off its bucket and counts it as open until it expires, so that what is lent from
 * it is within the rate whatever has become of the home. What a borrower does not use would be lost, so nothing is
 * lent ahead of demand.
 *
 * @param loan The stock.
 * @param asked What the host asks for, and monotonic milliseconds.
 * @returns The stock, the units, and the milliseconds for which they may be used.
 */
export function lendStandbyUnits(
	loan: StandbyLoan,
	asked: Asked,
): {readonly loan: StandbyLoan; readonly units: number; readonly span: number} {
	const left = (loan.expiresAt - asked.now) / asked.driftMargin;
	const units = left > 0 && loan.units >= asked.needed ? asked.needed : 0;
	return {
		loan: {...loan, units: loan.units - units}, units, span: Math.max(0, Math.floor(Math.min(left, asked.longestSpan))),
	};
}
