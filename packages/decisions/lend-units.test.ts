import {expect} from 'chai';
import {addLoan} from './add-loan.ts';
import {createLoanAccount} from './create-loan-account.ts';
import {lendUnits} from './lend-units.ts';
import {settleLoanAccount} from './settle-loan-account.ts';
import {spendUnits} from './spend-units.ts';
import type {HomeBucket} from './home-bucket.ts';

const rate = 50;
const burst = 40;
const loanSpanMs = 2000;

describe('lendUnits', () => {
	const settlements: ReadonlyArray<readonly [string, ReadonlyArray<{readonly id: number; readonly used: number; readonly returned: number}>, number]> = [
		['ignores a late report about a loan that is no longer open', [{id: 1, used: 40, returned: 0}], 0],
		['does not return used units to the bucket', [{id: 2, used: 30, returned: 0}], 0],
		['lends returned units again', [{id: 2, used: 10, returned: 30}], 30],
	];
	for (const [title, settled, units] of settlements) {
		it(title, () => {
			const lent = lendUnits({
				level: 0, refilledAt: 1000, loans: [{
					host: 'a', id: 2, units: 40, expiresAt: 3000,
				}],
			}, {
				host: 'a', id: 3, needed: 1, wanted: 1000, settled, rate, burst, expiresAfterMs: loanSpanMs, now: 1000,
			});
			expect(lent.units > 0).to.equal(units > 0);
			expect(lent.bucket.level + lent.units).to.be.closeTo(units, 1e-9);
		});
	}

	it('lends the whole rate to a single host that asks continuously', () => {
		let home: HomeBucket = {level: 0, refilledAt: 0, loans: []};
		let account = createLoanAccount(0);
		let used = 0;
		for (let now = 0; now <= 10_000; now += 10) {
			const report = settleLoanAccount(account);
			const lent = lendUnits(home, {
				host: 'a', id: report.id, needed: 1, wanted: 5, settled: report.settled, rate, burst, expiresAfterMs: loanSpanMs, now,
			});
			home = lent.bucket;
			const spent = spendUnits(addLoan(report.account, {id: report.id, units: lent.units, expiresAt: now + loanSpanMs}), {cost: 1, isFirst: true, now});
			({account} = spent);
			used += spent.isSpent ? 1 : 0;
		}

		expect(used).to.be.within(rate * 9.5, (rate * 10) + burst);
	});
});
