import {expect} from 'chai';
import {isMajoritySilent} from './is-majority-silent.ts';

const votes = (text: string) => text.split(' ').map(vote => ({zone: vote.slice(0, 1), isSilent: vote.endsWith('-')}));

describe('isMajoritySilent', () => {
	const cases = [
		{name: 'agrees when no zone gets an answer', given: 'a- b- c-', expected: true},
		{name: 'does not let one zone decide, as it may be partitioned', given: 'a- a- a-', expected: false},
		{name: 'does not let a minority decide', given: 'a- b- c+ c+ a+', expected: false},
		{name: 'needs more than half', given: 'a- b- c+ c+', expected: false},
		{name: 'agrees when most hosts get no answer', given: 'a- b- a- c+ c+', expected: true},
		{name: 'does not let a single host decide', given: 'a-', expected: false},
	];
	for (const {name, given, expected} of cases) {
		it(name, () => {
			expect(isMajoritySilent(votes(given))).to.equal(expected);
		});
	}
});
