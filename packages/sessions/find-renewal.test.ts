import {expect} from 'chai';
import {findRenewal} from './find-renewal.ts';

const requested = new Map([['fleet', {mark: undefined, age: 100}], ['configuration', {mark: undefined, age: 100}]] as const);

describe('findRenewal', () => {
	const cases = [
		{
			name: 'no table was confirmed since the request', waited: 500, fleet: 580, configuration: 590, expected: 'none',
		},
		{
			name: 'both tables were confirmed since', waited: 900, fleet: 5, configuration: 10, expected: 'all',
		},
		{
			name: 'one table was confirmed since', waited: 900, fleet: 5, configuration: 980, expected: 'some',
		},
		{
			name: 'both tables were fresher here before the request', waited: 0, fleet: -1000, configuration: -1000, expected: 'all',
		},
	] as const;
	for (const {name, waited, fleet, configuration, expected} of cases) {
		it(`says ${expected} when ${name}`, () => {
			expect(findRenewal({requested, waited, ages: new Map([['fleet', fleet], ['configuration', configuration]] as const)})).to.equal(expected);
		});
	}
});
