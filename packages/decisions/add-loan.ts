import type {LoanAccount} from './loan-account.ts';

/** Adds a loan to a account. */
export function addLoan(
	account: LoanAccount,
	loan: {readonly id: number; readonly units: number; readonly expiresAt: number},
): LoanAccount {
	return loan.units > 0 ? {...account, loans: [...account.loans, {...loan, used: 0}]} : account;
}
