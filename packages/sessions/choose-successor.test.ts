import {expect} from 'chai';
import {chooseSuccessor} from './choose-successor.ts';

const candidate = (id: string, term: number, position: number, isDeparting = false) => ({
	id, isDeparting, status: {role: 'replica', term, received: {term, position: BigInt(position)}} as const,
});

describe('chooseSuccessor', () => {
	const cases = [
		{name: 'takes the longest log', given: [candidate('a', 1, 5), candidate('b', 1, 9)], expected: 'b'},
		{name: 'takes the newer term before the longer log', given: [candidate('a', 2, 5), candidate('b', 1, 9)], expected: 'a'},
		{name: 'takes the first by name of equal ones, so that all hosts choose alike', given: [candidate('b', 1, 5), candidate('a', 1, 5)], expected: 'a'},
		{name: 'leaves out what departs', given: [candidate('a', 1, 9, true), candidate('b', 1, 5)], expected: 'b'},
		{name: 'takes what departs when nothing else is left', given: [candidate('a', 1, 9, true)], expected: 'a'},
		{name: 'finds nothing among none', given: [], expected: undefined},
	];
	for (const {name, given, expected} of cases) {
		it(name, () => {
			expect(chooseSuccessor(given)?.id).to.equal(expected);
		});
	}
});
