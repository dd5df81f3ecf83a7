import {expect} from 'chai';
import {findConfirmedAt} from './find-confirmed-at.ts';
import type {Instant} from './instant.ts';

const at = (steady: number, wall = steady): Instant => ({steady, wall});

describe('findConfirmedAt', () => {
	const clock = {store: 1000, notAfter: at(0)};
	const cases = [
		{
			name: 'a first call confirms up to when it was sent', clock: undefined, sentAt: at(10), answeredAt: at(20), storeNow: 5, expected: at(10),
		},
		{
			name: 'a long poll confirms almost up to its answer', clock, sentAt: at(100), answeredAt: at(1110), storeNow: 2100, expected: at(1100),
		},
		{
			name: 'the moment is never later than the answer', clock, sentAt: at(100), answeredAt: at(1110), storeNow: 9000, expected: at(1110),
		},
		{
			name: 'the moment is never earlier than the call', clock, sentAt: at(1000), answeredAt: at(1200), storeNow: 1100, expected: at(1000),
		},
		{
			name: 'a jump of the wall clock invalidates the reading', clock, sentAt: at(100), answeredAt: at(1110, 3510), storeNow: 2100, expected: at(100),
		},
		{
			name: 'a steady clock that stopped invalidates the reading', clock, sentAt: at(100), answeredAt: at(400, 3400), storeNow: 4400, expected: at(100),
		},
	];
	for (const {
		name, clock: known, sentAt, answeredAt, storeNow, expected,
	} of cases) {
		it(name, () => {
			expect(findConfirmedAt(known, {sentAt, answeredAt, storeNow}).confirmedAt).to.deep.equal(expected);
		});
	}
});
