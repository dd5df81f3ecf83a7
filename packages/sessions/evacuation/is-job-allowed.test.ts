import {expect} from 'chai';
import type {Job} from '../job.ts';
import {isJobAllowed} from './is-job-allowed.ts';

const kinds: ReadonlyArray<Job['kind']> = ['single', 'begin', 'within', 'commit', 'rollback', 'position'];

describe('isJobAllowed', () => {
	const cases = [
		{
			name: 'sends everything to an open zone', phase: 'open', isPrimary: false, expected: kinds,
		},
		{
			name: 'lets open transactions at a replica go on, and begins nothing there', phase: 'leaving', isPrimary: false, expected: ['within', 'commit', 'rollback'],
		},
		{
			name: 'goes on using the primary until it is replaced', phase: 'leaving', isPrimary: true, expected: kinds,
		},
		{
			name: 'sends only rollbacks close to the limit', phase: 'ending', isPrimary: true, expected: ['rollback'],
		},
		// Guards against a message between hosts that was held up until after the limit.
		{
			name: 'sends nothing after the limit', phase: 'closed', isPrimary: true, expected: [],
		},
	] as const;
	for (const {name, phase, isPrimary, expected} of cases) {
		it(name, () => {
			expect(kinds.filter(kind => isJobAllowed(kind, {phase, isPrimary}))).to.deep.equal(expected);
		});
	}
});
