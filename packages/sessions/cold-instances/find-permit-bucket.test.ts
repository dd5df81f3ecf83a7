import {expect} from 'chai';
import {findPermitBucket} from './find-permit-bucket.ts';
import {permitLifetimeMs} from './permit-lifetime-ms.ts';

describe('findPermitBucket', () => {
	const cases = [
		{
			name: 'lends at the stated rate where the tolerance allows it', rate: 10, bound: {overage: 1.5, slack: 5}, expected: {rate: 10, burst: 5},
		},
		{
			name: 'lends less than the stated rate without a tolerance', rate: 40, bound: {overage: 1, slack: 0}, expected: {rate: 21.04, burst: 10},
		},
		{
			name: 'lends one at a time where one statement a second is allowed', rate: 1, bound: {overage: 1, slack: 0}, expected: {rate: 0.68, burst: 1},
		},
		{
			name: 'lends nothing where less than one statement a second is allowed', rate: 0.5, bound: {overage: 1.5, slack: 0}, expected: {rate: 0, burst: 0},
		},
	];
	for (const {name, rate, bound, expected} of cases) {
		it(name, () => {
			const bucket = findPermitBucket({rate}, bound);
			expect({...bucket, rate: Math.round(bucket.rate * 100) / 100}).to.deep.equal(expected);
		});
	}

	it('never lets more be lent in a window and the lifetime of a permit than a window may have', () => {
		for (const overage of [0.5, 1, 1.5, 3]) {
			for (const slack of [0, 1, 5, 40]) {
				for (const rate of [0.2, 1, 3, 10, 77, 1000]) {
					const bucket = findPermitBucket({rate}, {overage, slack});
					const lent = Math.floor(bucket.burst + (bucket.rate * (1000 + permitLifetimeMs) / 1000));
					expect(lent).to.be.at.most((rate * overage) + slack);
				}
			}
		}
	});
});
