import {expect} from 'chai';
import {findFenceRemaining} from './find-fence-remaining.ts';

describe(findFenceRemaining.name, () => {
	const cases = [
		{
			name: 'waits for no host once all have released the primary', pending: [], now: 1000, isOver: true,
		},
		{
			name: 'waits for the lease of a lost host', pending: ['a1'], now: 1000 + 1000, isOver: false,
		},
		{
			name: 'does not wait for longer than a lease', pending: ['a1'], now: 1000 + 2700, isOver: true,
		},
	];
	for (const {name, pending, now, isOver} of cases) {
		it(name, () => {
			expect(findFenceRemaining({at: 1000, pending: new Set(pending)}, now) <= 0).to.equal(isOver);
		});
	}
});
