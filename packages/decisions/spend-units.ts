import type {LoanAccount} from './loan-account.ts';

/** Time constant in milliseconds of the exponential decay of the demand. */
const demandDecayMs = 1000;

/**
 * Spends units that a host has borrowed.
 *
 * Units of an expired loan cannot be spent, also when the host's process was paused since the loan was made.
 *
 * @param account The loan account.
 * @param options The cost in units, whether this is the first attempt for the request (only then its cost counts as
 * demand), and monotonic milliseconds.
 * @returns The account afterwards, and whether it held enough units.
 */
export function spendUnits(
	account: LoanAccount,
	options: {readonly cost: number; readonly isFirst: boolean; readonly now: number},
): {readonly account: LoanAccount; readonly isSpent: boolean} {
	const {cost, now} = options;
	const openLoans = account.loans.filter(({expiresAt}) => expiresAt > now);
	const demand = (account.demand * Math.exp((account.demandAt - now) / demandDecayMs)) + (options.isFirst ? cost : 0);
	const current = {
		...account, loans: openLoans, demand, demandAt: now,
	};
	const units = openLoans.reduce((sum, loan) => sum + loan.units, 0);
	if (units < cost) {
		return {account: current, isSpent: false};
	}

	let remaining = cost;
	const loans = openLoans.map(loan => {
		const spent = Math.min(remaining, loan.units);
		remaining -= spent;
		return {...loan, units: loan.units - spent, used: loan.used + spent};
	});
	return {account: {...current, loans}, isSpent: true};
}
