import type {LoanAccount} from './loan-account.ts';

/** A borrower's report to the home host: units used and units returned, by the number of the loan. */
type SettlementReport = ReadonlyArray<{readonly id: number; readonly used: number; readonly returned: number}>;

/**
 * Settles a loan account that holds too few units, before the host asks for the next loan.
 *
 * The returned units leave the account before the home host receives the report, so that they are never spent twice.
 * When the report is lost, the home host counts the loans as used once they expire.
 *
 * @returns The account without loans, the report for the home host, and the number of the next loan.
 */
export function settleLoanAccount(account: LoanAccount): {readonly account: LoanAccount; readonly settled: SettlementReport; readonly id: number} {
	const settled = account.loans.map(({id, used, units}) => ({id, used, returned: units}));
	return {account: {...account, loans: [], nextId: account.nextId + 1}, settled, id: account.nextId};
}
