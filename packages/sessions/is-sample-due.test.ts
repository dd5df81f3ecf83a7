import {expect} from 'chai';
import {isSampleDue} from './is-sample-due.ts';

describe('isSampleDue', () => {
	const cases = [
		{
			name: 'just before others are told', isReading: true, isWanted: false, age: 300, now: 7850, expected: true,
		},
		{
			name: 'not twice before others are told', isReading: true, isWanted: false, age: 60, now: 7900, expected: false,
		},
		{
			name: 'now and then in between', isReading: true, isWanted: false, age: 500, now: 7400, expected: true,
		},
		{
			name: 'not while others tell positions in time', isReading: false, isWanted: true, age: 1200, now: 7850, expected: false,
		},
		{
			name: 'when what others told is nearly too old for reads', isReading: false, isWanted: true, age: 1300, now: 7400, expected: true,
		},
		{
			name: 'not for a group that no caller reads', isReading: false, isWanted: false, age: 9000, now: 7400, expected: false,
		},
	];
	for (const {name, expected, ...options} of cases) {
		it(`asks ${name}`, () => {
			expect(isSampleDue(options)).to.equal(expected);
		});
	}
});
