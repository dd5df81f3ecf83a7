import {expect} from 'chai';
import {createPermitKey} from './create-permit-key.ts';
import {lendPermits} from './lend-permits.ts';
import type {PermitState} from './permit-state.ts';

const options = {limits: new Map([['pondbook', {rate: 10, span: 5000}]]), bound: {overage: 1.5, slack: 5}};

/** Lends a permit for an instance. */
const lend = (state: PermitState, id: string, now: number) => lendPermits(state, {
	...options,
	claims: [{
		workspace: createPermitKey({group: 'pondbook', id}), demand: 0, held: 0, heldFor: 0, needed: 1,
	}],
	now,
}).state;

describe('lendPermits, when instances are replaced again and again', () => {
	it('drops the buckets of instances for which nothing was claimed lately', () => {
		let state: PermitState = {since: 0, buckets: new Map()};
		for (let index = 0; index < 100; index++) {
			state = lend(state, `i-${index}`, 10_000 + (index * 20_000));
		}

		expect(state.buckets.size).to.equal(1);
	});

	it('keeps a bucket from which permits were lent that may still be used', () => {
		const state = lend(lend({since: 0, buckets: new Map()}, 'i-a', 10_000), 'i-b', 11_400);
		expect(state.buckets.size).to.equal(2);
	});
});
