import {expect} from 'chai';
import {findRateRefusal} from './find-rate-refusal.ts';

describe(findRateRefusal.name, () => {
	const cases = [
		{
			name: 'refuses callers of a flooding workspace at once, until the next operation is due', unassignedFor: undefined, dueAfter: 70, remaining: 400, expected: {kind: 'refused', reason: 'usedUp', retryAfter: 70},
		},
		{
			name: 'lets callers wait while rates are assigned anew after all hosts have started at once', unassignedFor: 100, dueAfter: 2000, remaining: 400, expected: undefined,
		},
		{
			name: 'names the time at which the rates are expected to a caller that can wait no longer', unassignedFor: 500, dueAfter: 2000, remaining: 0, expected: {kind: 'refused', reason: 'unassigned', retryAfter: 300},
		},
		{
			name: 'refuses at once while a zone is cut off and the share gives nothing in time', unassignedFor: 1500, dueAfter: 2000, remaining: 400, expected: {kind: 'refused', reason: 'unassigned', retryAfter: 2000},
		},
		{
			name: 'lets callers wait for an operation that is due in time while a zone is cut off', unassignedFor: 1500, dueAfter: 200, remaining: 400, expected: undefined,
		},
	];
	for (const {name, expected, ...options} of cases) {
		it(name, () => {
			expect(findRateRefusal(options)).to.deep.equal(expected);
		});
	}
});
