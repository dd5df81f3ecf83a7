import type {Purse} from './purse.ts';

/** Adds a loan to a purse. */
export function addLoan(
	purse: Purse,
	loan: {readonly id: number; readonly units: number; readonly expiresAt: number},
): Purse {
	return loan.units > 0 ? {...purse, loans: [...purse.loans, {...loan, used: 0}]} : purse;
}
