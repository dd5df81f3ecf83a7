import {expect} from 'chai';
import {findAllowedConnections} from './find-allowed-connections.ts';

describe('findAllowedConnections', () => {
	const cases = [
		{
			name: 'all, when none was refused', refusal: undefined, now: 0, expected: 12,
		},
		{
			name: 'those that were held, while connections of a lost host still count at the instance', refusal: {held: 5, at: 0}, now: 149, expected: 5,
		},
		{
			name: 'none, when none was held', refusal: {held: 0, at: 0}, now: 10, expected: 0,
		},
		{
			name: 'one more after a while', refusal: {held: 5, at: 0}, now: 150, expected: 6,
		},
		{
			name: 'all in the end', refusal: {held: 5, at: 0}, now: 60_000, expected: 12,
		},
	];
	for (const {name, refusal, now, expected} of cases) {
		it(`allows ${name}`, () => {
			expect(findAllowedConnections(refusal, {limit: 12, now})).to.equal(expected);
		});
	}
});
