import type {LoanAccount} from './loan-account.ts';

/** Creates a purse without loans. */
export function createLoanAccount(now: number): LoanAccount {
	return {
		loans: [], nextId: 1, demand: 0, demandAt: now,
	};
}
