import {expect} from 'chai';
import {isWorthWaiting} from './is-worth-waiting.ts';

describe(isWorthWaiting.name, () => {
	const cases = [
		{
			name: 'a workspace that has used up its rate', unassignedFor: undefined, dueAfter: 10, remaining: 400, expected: false,
		},
		{
			name: 'rates that are assigned anew after all hosts have started at once', unassignedFor: 100, dueAfter: 2000, remaining: 400, expected: true,
		},
		{
			name: 'rates that stay unassigned while a zone is cut off, and a share that gives nothing in time', unassignedFor: 1500, dueAfter: 2000, remaining: 400, expected: false,
		},
		{
			name: 'rates that stay unassigned while a zone is cut off, and an operation that is due in time', unassignedFor: 1500, dueAfter: 200, remaining: 400, expected: true,
		},
		{
			name: 'a caller that has waited for as long as it may', unassignedFor: 100, dueAfter: 10, remaining: 0, expected: false,
		},
	];
	for (const {name, expected, ...options} of cases) {
		it(`${expected ? 'is' : 'is not'} worth it for ${name}`, () => {
			expect(isWorthWaiting(options)).to.equal(expected);
		});
	}
});
