import {expect} from 'chai';
import type {PrimaryView} from '../primary-view.ts';
import {findPrimaryForNewWork} from './find-primary-for-new-work.ts';

const leased: PrimaryView = {kind: 'leased', instance: 'i-a', epoch: 1};
const fencing: PrimaryView = {kind: 'unavailable', reason: 'fencing', retryAfter: 500};

describe('findPrimaryForNewWork', () => {
	const cases = [
		{
			name: 'uses a primary that is not evacuated', view: leased, phase: 'open', hasSuccessor: false, expected: 'leased',
		},
		{
			name: 'uses an evacuated primary until it is replaced', view: leased, phase: 'leaving', hasSuccessor: true, expected: 'leased',
		},
		{
			name: 'waits for the failover once the limit is close', view: leased, phase: 'ending', hasSuccessor: true, expected: 'evacuating',
		},
		{
			name: 'waits for a failover that is late', view: leased, phase: 'closed', hasSuccessor: true, expected: 'evacuating',
		},
		{
			name: 'waits for no failover where nothing may be promoted', view: leased, phase: 'leaving', hasSuccessor: false, expected: 'evacuated',
		},
		{
			name: 'leaves a failover that runs to its usual time', view: fencing, phase: 'closed', hasSuccessor: true, expected: 'fencing',
		},
	] as const;
	for (const {name, view, phase, hasSuccessor, expected} of cases) {
		it(name, () => {
			const found = findPrimaryForNewWork(view, {phase, hasSuccessor});
			expect(found.kind === 'leased' ? found.kind : found.reason).to.equal(expected);
		});
	}
});
