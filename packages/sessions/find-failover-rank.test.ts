import {expect} from 'chai';
import {findFailoverRank} from './find-failover-rank.ts';

const hosts = ['a1', 'a2', 'b1', 'b2', 'c1'].map(name => ({name, zone: name.slice(0, 1)}));
/** Gateways of a primary in zone `a`, followed by the hosts of other zones that connect to it when no gateway is reachable. */
const gateways = ['a1', 'a2', 'b1', 'c1'];

describe('findFailoverRank', () => {
	const cases = [
		{
			name: 'the best gateway of the primary first', self: 'a1', areGatewaysSilent: false, hasFailoverLock: false, expected: 0,
		},
		{
			name: 'a host of another zone after those of the primary\'s zone', self: 'b1', areGatewaysSilent: false, hasFailoverLock: false, expected: 3,
		},
		{
			name: 'a host that does not connect to the primary last', self: 'b2', areGatewaysSilent: false, hasFailoverLock: false, expected: 8,
		},
		{
			name: 'the holder of the failover lock first, as no other host may act', self: 'b2', areGatewaysSilent: false, hasFailoverLock: true, expected: 0,
		},
	];
	it('lets hosts of other zones act at once when a zone goes silent, one before the others', () => {
		const rank = (self: string) => findFailoverRank({
			self, zone: 'a', hosts, gateways, areGatewaysSilent: true, hasFailoverLock: false,
		});
		expect(['b1', 'b2', 'c1'].map(self => rank(self)).toSorted((a, b) => a - b)).to.deep.equal([0, 2, 4]);
	});

	for (const {name, expected, ...options} of cases) {
		it(`ranks ${name}`, () => {
			expect(findFailoverRank({
				...options, zone: 'a', hosts, gateways,
			})).to.equal(expected);
		});
	}
});
