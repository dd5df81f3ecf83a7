import {expect} from 'chai';
import {findAlignedWait} from './find-aligned-wait.ts';

describe('findAlignedWait', () => {
	const cases = [
		{
			name: 'a call right after a common moment', now: 5010, most: 1000, expected: 990,
		},
		{
			name: 'a call that would be too short', now: 5800, most: 1000, expected: 1200,
		},
		{
			name: 'a call in the middle of a period', now: 5500, most: 1000, expected: 500,
		},
		{
			name: 'a call that may last several periods', now: 5010, most: 4000, expected: 3990,
		},
		{
			name: 'a call between two ticks of the clock', now: 5010.25, most: 1000, expected: 990,
		},
	];
	for (const {name, now, most, expected} of cases) {
		it(`ends ${name} with the others`, () => {
			expect(findAlignedWait({intervalMs: 1000, maxWaitMs: most, now})).to.equal(expected);
		});
	}
});
