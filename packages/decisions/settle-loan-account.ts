import type {LoanAccount} from './loan-account.ts';

/** What a borrower tells the home of its earlier loans, by the loan's number. */
type Settled = ReadonlyArray<{readonly id: number; readonly used: number; readonly returned: number}>;

/**
 * Settles a purse that does not hold enough: reports what was used, gives the rest back, and numbers the next loan.
 *
 * What is given back is gone from the purse before the home hears of it. A report that is lost frees nothing:
 * the home takes the loans for used up when they expire.
 */
export function settleLoanAccount(account: LoanAccount): {readonly account: LoanAccount; readonly settled: Settled; readonly id: number} {
	const settled = account.loans.map(({id, used, units}) => ({id, used, returned: units}));
	return {account: {...account, loans: [], nextId: account.nextId + 1}, settled, id: account.nextId};
}
