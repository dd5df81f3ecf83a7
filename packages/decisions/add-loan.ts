import type {LoanAccount} from './loan-account.ts';

/** Adds a loan to a loan account. A loan of 0 units, which the lender grants when it has too few, changes nothing. */
export function addLoan(
	account: LoanAccount,
	loan: {readonly id: number; readonly units: number; readonly expiresAt: number},
): LoanAccount {
	return loan.units > 0 ? {...account, loans: [...account.loans, {...loan, used: 0}]} : account;
}
