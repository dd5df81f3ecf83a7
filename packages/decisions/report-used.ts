import type {Purse} from './purse.ts';

/** What a borrower tells the home of its earlier loans, by the loan's number. */
type Used = ReadonlyArray<{readonly id: number; readonly units: number}>;

/**
 * Reports what has been used of each loan since the last report, and takes the number of the next loan.
 *
 * A report that is lost frees nothing: the home takes the loan for used up when it expires.
 */
export function reportUsed(purse: Purse): {readonly purse: Purse; readonly used: Used; readonly id: number} {
	const used = purse.loans.filter(loan => loan.used > 0).map(loan => ({id: loan.id, units: loan.used}));
	const loans = purse.loans.filter(({units}) => units > 0).map(loan => ({...loan, used: 0}));
	return {purse: {...purse, loans, nextId: purse.nextId + 1}, used, id: purse.nextId};
}
