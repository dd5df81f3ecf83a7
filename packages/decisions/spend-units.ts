import type {LoanAccount} from './loan-account.ts';

/** Milliseconds in which the memory of demand fades to a third. */
const demandFade = 1000;

/**
 * Spends units that a host has on loan.
 *
 * A loan that has expired is worth nothing, also when the host was paused since it was made.
 *
 * @param account The loans.
 * @param options The cost in units, whether the request asks for the first time, and monotonic milliseconds.
 */
export function spendUnits(
	account: LoanAccount,
	options: {readonly cost: number; readonly isFirst: boolean; readonly now: number},
): {readonly account: LoanAccount; readonly isSpent: boolean} {
	const {cost, now} = options;
	const live = account.loans.filter(({expiresAt}) => expiresAt > now);
	const demand = (account.demand * Math.exp((account.demandAt - now) / demandFade)) + (options.isFirst ? cost : 0);
	const known = {
		...account, loans: live, demand, demandAt: now,
	};
	const units = live.reduce((sum, loan) => sum + loan.units, 0);
	if (units < cost) {
		return {account: known, isSpent: false};
	}

	let left = cost;
	const loans = live.map(loan => {
		const spent = Math.min(left, loan.units);
		left -= spent;
		return {...loan, units: loan.units - spent, used: loan.used + spent};
	});
	return {account: {...known, loans}, isSpent: true};
}
