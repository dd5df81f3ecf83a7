import {expect} from 'chai';
import {findAlignedWait} from './find-aligned-wait.ts';

describe('findAlignedWait', () => {
	const cases = [
		{
			name: 'a call right after the end of an interval', now: 5010, maxWaitMs: 1000, expected: 990,
		},
		{
			name: 'a call that would be too short', now: 5800, maxWaitMs: 1000, expected: 1200,
		},
		{
			name: 'a call in the middle of an interval', now: 5500, maxWaitMs: 1000, expected: 500,
		},
		{
			name: 'a call that may last several intervals', now: 5010, maxWaitMs: 4000, expected: 3990,
		},
		{
			name: 'a call between two ticks of the clock', now: 5010.25, maxWaitMs: 1000, expected: 990,
		},
	];
	for (const {name, now, maxWaitMs, expected} of cases) {
		it(`ends ${name} with the others`, () => {
			expect(findAlignedWait({intervalMs: 1000, maxWaitMs, now})).to.equal(expected);
		});
	}
});
