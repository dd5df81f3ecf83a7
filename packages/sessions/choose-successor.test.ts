import {expect} from 'chai';
import {chooseSuccessor} from './choose-successor.ts';

const candidate = (id: string, term: number, position: number, {isDeparting = false, isEvacuated = false} = {}) => ({
	id, isDeparting, isEvacuated, status: {role: 'replica', term, received: {term, position: BigInt(position)}} as const,
});

describe('chooseSuccessor', () => {
	const cases = [
		{name: 'chooses the longest log', given: [candidate('a', 1, 5), candidate('b', 1, 9)], expected: 'b'},
		{name: 'prefers a newer term to a longer log', given: [candidate('a', 2, 5), candidate('b', 1, 9)], expected: 'a'},
		{name: 'chooses the first id of equal instances, so that all hosts make the same choice', given: [candidate('b', 1, 5), candidate('a', 1, 5)], expected: 'a'},
		{name: 'skips departing instances', given: [candidate('a', 1, 9, {isDeparting: true}), candidate('b', 1, 5)], expected: 'b'},
		{name: 'chooses a departing instance when no other is left', given: [candidate('a', 1, 9, {isDeparting: true})], expected: 'a'},
		{name: 'prefers an instance outside of the evacuated zones to an equal one', given: [candidate('a', 1, 9, {isEvacuated: true}), candidate('b', 1, 9)], expected: 'b'},
		// Guards against the loss of acknowledged commits that only the instance in the evacuated zone has received.
		{name: 'prefers the newest log also in an evacuated zone', given: [candidate('a', 1, 9, {isEvacuated: true}), candidate('b', 1, 5)], expected: 'a'},
		{name: 'chooses an instance of an evacuated zone when no other is left', given: [candidate('a', 1, 9, {isEvacuated: true})], expected: 'a'},
		// Guards against two departing instances that take turns as the primary while the zones of the others are evacuated.
		{name: 'prefers an evacuated instance to a departing one', given: [candidate('a', 1, 9, {isDeparting: true}), candidate('b', 1, 5, {isEvacuated: true})], expected: 'b'},
		// Guards against the loss of acknowledged commits that only the departing instance has received.
		{
			name: 'chooses a departing instance when no other may be promoted', given: [candidate('a', 1, 9, {isDeparting: true}), candidate('b', 1, 5)], allowed: 'a', expected: 'a',
		},
		{
			name: 'chooses none when none may be promoted', given: [candidate('a', 1, 9)], allowed: '', expected: undefined,
		},
		{name: 'chooses none of no candidates', given: [], expected: undefined},
	];
	for (const {name, given, allowed, expected} of cases) {
		it(name, () => {
			expect(chooseSuccessor(given, ({id}) => allowed === undefined || id === allowed)?.id).to.equal(expected);
		});
	}
});
