import {expect} from 'chai';
import {findFailoverRank} from './find-failover-rank.ts';

const hosts = ['a1', 'a2', 'b1', 'b2', 'c1'].map(name => ({name, zone: name.slice(0, 1)}));
/** Gateways of a primary in zone `a`, and the hosts outside that connect to it when none of them can be reached. */
const gateways = ['a1', 'a2', 'b1', 'c1'];

describe('findFailoverRank', () => {
	const cases = [
		{
			name: 'the best gateway of the primary first', self: 'a1', hasFailoverLock: false, expected: 0,
		},
		{
			name: 'a host of another zone after those of the primary\'s own', self: 'b1', hasFailoverLock: false, expected: 3,
		},
		{
			name: 'a host that does not connect to the primary last', self: 'b2', hasFailoverLock: false, expected: 8,
		},
		{
			name: 'the host that replaces another primary now at once, since no other may', self: 'b2', hasFailoverLock: true, expected: 0,
		},
	];
	for (const {name, expected, ...options} of cases) {
		it(`lets ${name}`, () => {
			expect(findFailoverRank({
				...options, zone: 'a', hosts, gateways,
			})).to.equal(expected);
		});
	}
});
