import {expect} from 'chai';
import {isPositionSampleDue} from './is-position-sample-due.ts';

describe('isPositionSampleDue', () => {
	const cases = [
		{
			name: 'just before others are told', isStoreReader: true, hasReplicaReads: false, age: 300, now: 7850, expected: true,
		},
		{
			name: 'not twice before others are told', isStoreReader: true, hasReplicaReads: false, age: 60, now: 7900, expected: false,
		},
		{
			name: 'now and then in between', isStoreReader: true, hasReplicaReads: false, age: 500, now: 7400, expected: true,
		},
		{
			name: 'not while others tell positions in time', isStoreReader: false, hasReplicaReads: true, age: 1200, now: 7850, expected: false,
		},
		{
			name: 'when what others told is nearly too old for reads', isStoreReader: false, hasReplicaReads: true, age: 1300, now: 7400, expected: true,
		},
		{
			name: 'not for a group that no caller reads', isStoreReader: false, hasReplicaReads: false, age: 9000, now: 7400, expected: false,
		},
	];
	for (const {name, expected, ...options} of cases) {
		it(`asks ${name}`, () => {
			expect(isPositionSampleDue(options)).to.equal(expected);
		});
	}
});
