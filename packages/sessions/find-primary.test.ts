import {expect} from 'chai';
import {findPrimary} from './find-primary.ts';

const at = (steady: number, wall = steady) => ({steady, wall});
const row = {
	epoch: 3, state: 'serving', primary: 'i-1', successor: '', holder: 'a1', token: 2,
} as const;

describe('findPrimary', () => {
	const cases = [
		{
			name: 'leases a primary that the store named a moment ago', known: {row}, now: at(100), expected: 'leased',
		},
		{
			name: 'lets the lease lapse', known: {row}, now: at(2500), expected: 'lapsed',
		},
		{
			name: 'lets the lease lapse by the wall clock when the steady clock stood still', known: {row}, now: at(100, 2500), expected: 'lapsed',
		},
		{
			name: 'keeps the lease when the wall clock jumps back', known: {row}, now: at(100, -5000), expected: 'leased',
		},
		{
			name: 'gives no lease while a successor is made', known: {row: {...row, state: 'fencing' as const}}, now: at(100), expected: 'fencing',
		},
		{
			name: 'gives no lease to a host that no fence would wait for', known: {row, isRegistered: false}, now: at(100), expected: 'unknown',
		},
		{
			name: 'gives no lease on a primary that the store has not named', known: {row: undefined}, now: at(100), expected: 'unknown',
		},
	];
	for (const {name, known, now, expected} of cases) {
		it(name, () => {
			const view = findPrimary({
				confirmedAt: at(0), fencedAt: undefined, isRegistered: true, ...known,
			}, now);
			expect(view.kind === 'leased' ? view.kind : view.reason).to.equal(expected);
		});
	}

	it('says that an outage may last when the lease lapsed long ago', () => {
		const view = findPrimary({
			row, confirmedAt: at(0), fencedAt: undefined, isRegistered: true,
		}, at(6000));
		expect(view).to.deep.equal({kind: 'unavailable', reason: 'lapsed', retryAfter: 2000});
	});
});
