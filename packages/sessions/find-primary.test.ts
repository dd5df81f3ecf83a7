import {expect} from 'chai';
import {encodeStoreVersion} from './encode-store-version.ts';
import {findPrimary} from './find-primary.ts';
import {leaseDurationMs} from './lease-duration-ms.ts';

/** Milliseconds that a promotion takes until it shows on the hosts. */
const promotionMs = 500;

const at = (steady: number, wall = steady) => ({steady, wall});
const row = {
	epoch: 3, state: 'serving', primary: 'i-1', successor: '', holder: 'a1', token: 2, version: 1,
} as const;

describe('findPrimary', () => {
	const cases = [
		{
			name: 'grants a lease on a primary that the store confirmed a moment ago', known: {row}, now: at(100), expected: 'leased',
		},
		{
			name: 'lets the lease expire', known: {row}, now: at(2500), expected: 'lapsed',
		},
		{
			name: 'lets the lease expire as early as it registers to other hosts', known: {row}, now: at(leaseDurationMs), expected: 'lapsed',
		},
		{
			name: 'lets the lease expire by the wall clock when the steady clock stopped', known: {row}, now: at(100, 2500), expected: 'lapsed',
		},
		{
			name: 'keeps the lease when the wall clock jumps backwards', known: {row}, now: at(100, -5000), expected: 'leased',
		},
		{
			name: 'grants no lease while a failover runs', known: {row: {...row, state: 'fencing' as const}}, now: at(100), expected: 'fencing',
		},
		{
			// Guards against using a primary that was replaced in the seconds that the store lost before it came back.
			name: 'grants no lease on a primary that is not confirmed since the store came back older', known: {row: {...row, version: encodeStoreVersion({era: 2, counter: 40})}}, now: at(100), expected: 'restored',
		},
		{
			// Guards against reads on the latest state at an instance that is a replica now.
			name: 'grants no lease on a primary that says that it is a replica', known: {row, isDemoted: true}, now: at(100), expected: 'demoted',
		},
		{
			name: 'grants no lease to an unregistered host, as failovers would not wait for it', known: {row, isRegistered: false}, now: at(100), expected: 'unknown',
		},
		{
			name: 'grants no lease when the store names no primary', known: {row: undefined}, now: at(100), expected: 'unknown',
		},
	];
	for (const {name, known, now, expected} of cases) {
		it(name, () => {
			const view = findPrimary({
				confirmedAt: at(0), fencedAt: undefined, isDemoted: false, isRegistered: true, ...known,
			}, now);
			expect(view.kind === 'leased' ? view.kind : view.reason).to.equal(expected);
		});
	}

	it('names the time that a failover takes whose leases have to expire, as after the silent cut of a zone', () => {
		const view = findPrimary({
			row: {...row, state: 'fencing'}, confirmedAt: at(0), fencedAt: 0, isDemoted: false, isRegistered: true,
		}, at(0));
		expect(view.kind === 'unavailable' ? view.retryAfter : 0).to.be.at.least(leaseDurationMs + promotionMs);
	});

	it('suggests a longer retry delay when the lease expired long ago', () => {
		const view = findPrimary({
			row, confirmedAt: at(0), fencedAt: undefined, isDemoted: false, isRegistered: true,
		}, at(6000));
		expect(view).to.deep.equal({kind: 'unavailable', reason: 'lapsed', retryAfter: 2000});
	});
});
