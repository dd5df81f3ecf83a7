import {expect} from 'chai';
import {findMostDone} from './find-most-done.ts';

describe(findMostDone.name, () => {
	const limits = {rate: 10, burst: 40, cost: 4};
	const cases = [
		{
			name: 'the burst at once', limits, elapsed: 0, expected: 10,
		},
		{
			name: 'no operation for units that do not cover its cost', limits, elapsed: 399, expected: 10,
		},
		{
			name: 'what the rate adds meanwhile', limits, elapsed: 2000, expected: 15,
		},
	];
	for (const {name, limits, elapsed, expected} of cases) {
		it(`allows ${name}`, () => {
			expect(findMostDone(limits, elapsed)).to.equal(expected);
		});
	}
});
