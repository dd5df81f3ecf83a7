import {expect} from 'chai';
import {createEntryQueue} from './create-entry-queue.ts';
import {createTransactionPermits} from './create-transaction-permits.ts';
import type {EnteringRequest} from './entering-request.ts';

type Step = {readonly at: number; readonly add: ReadonlyArray<Pick<EnteringRequest, 'kind' | 'deadline'> & {readonly id: string}>; readonly takes: readonly string[]};

describe('createEntryQueue', () => {
	const long = 1000;
	const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]}> = [
		{
			name: 'passes transactions without a permit over',
			steps: [{at: 0, add: [{id: 'a', kind: 'begin', deadline: long}, {id: 'b', kind: 'begin', deadline: long}, {id: 'c', kind: 'single', deadline: long}], takes: ['a', 'c']}],
		},
		{
			name: 'passes the permit of a transaction on that expired while it waited for a place',
			steps: [
				{at: 0, add: [{id: 'a', kind: 'begin', deadline: 10}, {id: 'b', kind: 'begin', deadline: long}], takes: []},
				{at: 10, add: [], takes: ['b']},
			],
		},
		{
			name: 'passes the permit on to a transaction that has not expired as well',
			steps: [{at: 0, add: [{id: 'a', kind: 'begin', deadline: 10}, {id: 'b', kind: 'begin', deadline: 10}], takes: []}, {at: 10, add: [{id: 'c', kind: 'begin', deadline: long}], takes: ['c']}],
		},
	];
	for (const {name, steps} of cases) {
		it(name, () => {
			const permits = createTransactionPermits({findLimit: () => 1, now: () => 0});
			const queue = createEntryQueue<EnteringRequest & {readonly id: string}>({
				permits,
				findPace: () => ({serviceMs: undefined, limit: 1}),
				onRefused({permit}) {
					permit?.end();
				},
				jitter: () => 0,
			});
			for (const {at, add, takes} of steps) {
				for (const request of add) {
					queue.add({
						...request, workspace: 'upper', priority: 1, since: at,
					});
				}

				const taken = add.length > 0 && takes.length === 0 ? [] : Array.from({length: 3}, () => queue.take(at, () => false)?.id);
				expect(taken.filter(id => id !== undefined)).to.deep.equal(takes);
			}
		});
	}
});
