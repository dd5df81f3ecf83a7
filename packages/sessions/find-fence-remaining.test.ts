import {expect} from 'chai';
import {findFenceRemaining} from './find-fence-remaining.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';

describe(findFenceRemaining.name, () => {
	const own = {leaseMs: leaseDurationMs};
	const cases = [
		{
			name: 'waits for no host once all have released the primary', pending: [], elapsed: 0, isOver: true,
		},
		{
			name: 'waits for the lease of a lost host', pending: [own], elapsed: leaseDurationMs, isOver: false,
		},
		{
			name: 'does not wait for longer than a lease', pending: [own], elapsed: leaseDurationMs + 200, isOver: true,
		},
		{
			name: 'waits longer for a lost host of a version with longer leases, as during a rolling update', pending: [own, {}], elapsed: leaseDurationMs + 200, isOver: false,
		},
	];
	for (const {name, pending, elapsed, isOver} of cases) {
		it(name, () => {
			expect(findFenceRemaining({at: 1000, pending}, 1000 + elapsed) <= 0).to.equal(isOver);
		});
	}
});
