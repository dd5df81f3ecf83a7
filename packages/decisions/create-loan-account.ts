import type {LoanAccount} from './loan-account.ts';

/**
 * Creates a loan account without loans.
 *
 * @param now Monotonic milliseconds.
 */
export function createLoanAccount(now: number): LoanAccount {
	return {
		loans: [], nextId: 1, demand: 0, demandAt: now,
	};
}
