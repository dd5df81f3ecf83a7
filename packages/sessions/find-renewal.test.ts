import {expect} from 'chai';
import {findRenewal} from './find-renewal.ts';

const asked = new Map([['fleet', {mark: undefined, age: 100}], ['configuration', {mark: undefined, age: 100}]] as const);

describe('findRenewal', () => {
	const cases = [
		{
			name: 'nothing was renewed since the host asked', waited: 500, fleet: 580, configuration: 590, expected: 'none',
		},
		{
			name: 'both proofs were renewed', waited: 900, fleet: 5, configuration: 10, expected: 'all',
		},
		{
			name: 'one proof was renewed', waited: 900, fleet: 5, configuration: 980, expected: 'some',
		},
		{
			name: 'the proofs were renewed before the question came', waited: 0, fleet: -1000, configuration: -1000, expected: 'all',
		},
	] as const;
	for (const {name, waited, fleet, configuration, expected} of cases) {
		it(`says ${expected} when ${name}`, () => {
			expect(findRenewal({asked, waited, ages: new Map([['fleet', fleet], ['configuration', configuration]] as const)})).to.equal(expected);
		});
	}
});
