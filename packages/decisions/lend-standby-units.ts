import type {StandbyLoan} from './standby-loan.ts';

type StandbyLoanRequest = {
	/** Units that the borrower needs; exactly this number is lent, or none. */
	readonly needed: number;
	/** Longest time in milliseconds for which units are lent. */
	readonly maxValidMs: number;
	/**
	 * Greatest ratio of two hosts' clock rates. The rest of the standby loan's time is divided by it, so that a
	 * borrower with a slower clock stops before the standby loan expires.
	 */
	readonly driftMargin: number;
	/** Monotonic milliseconds. */
	readonly now: number;
};

/**
 * Lends units of the loan that a standby host holds.
 *
 * The home host has taken the standby loan off its bucket and counts it as open until it expires, so units lent from
 * it stay within the workspace's rate even when the home host has failed. Units that a borrower does not use are
 * lost, so nothing is lent ahead of demand.
 *
 * @param loan The standby loan.
 * @param request What the borrower asks for, and the present time.
 * @returns The standby loan afterwards, the units lent, and the milliseconds for which they may be used.
 */
export function lendStandbyUnits(
	loan: StandbyLoan,
	request: StandbyLoanRequest,
): {readonly loan: StandbyLoan; readonly units: number; readonly validMs: number} {
	const remaining = (loan.expiresAt - request.now) / request.driftMargin;
	const units = remaining > 0 && loan.units >= request.needed ? request.needed : 0;
	return {
		loan: {...loan, units: loan.units - units}, units, validMs: Math.max(0, Math.floor(Math.min(remaining, request.maxValidMs))),
	};
}
