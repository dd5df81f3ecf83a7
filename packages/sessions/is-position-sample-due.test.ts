import {expect} from 'chai';
import {isPositionSampleDue} from './is-position-sample-due.ts';

describe('isPositionSampleDue', () => {
	const cases = [
		{
			name: 'is due shortly before a report to other hosts', isStoreReader: true, hasReplicaReads: false, age: 300, now: 7930, expected: true,
		},
		{
			name: 'is not due twice before the same report', isStoreReader: true, hasReplicaReads: false, age: 60, now: 7950, expected: false,
		},
		{
			name: 'is due between reports once the last sample is old', isStoreReader: true, hasReplicaReads: false, age: 500, now: 7400, expected: true,
		},
		{
			name: 'is not due while reported positions are recent', isStoreReader: false, hasReplicaReads: true, age: 1200, now: 7850, expected: false,
		},
		{
			name: 'is due when the reported position is nearly too old for reads', isStoreReader: false, hasReplicaReads: true, age: 1300, now: 7400, expected: true,
		},
		{
			name: 'is not due for a group without recent reads', isStoreReader: false, hasReplicaReads: false, age: 9000, now: 7400, expected: false,
		},
	];
	for (const {name, expected, ...options} of cases) {
		it(`a sample ${name}`, () => {
			expect(isPositionSampleDue(options)).to.equal(expected);
		});
	}
});
