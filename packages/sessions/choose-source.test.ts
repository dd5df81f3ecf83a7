import {rankHosts} from '@sapphirefall/decisions';
import {expect} from 'chai';
import {chooseSource} from './choose-source.ts';

const names = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1'];
const hosts = names.map(name => ({name, zone: name.slice(0, 1)}));
const choose = (self: string, avoided: readonly string[] = []) => chooseSource({
	self, zone: self.slice(0, 1), hosts, avoidedUntil: new Map(avoided.map(name => [name, 100])), now: 50,
});
const [fleetReader = ''] = rankHosts('reader', names);
const readersOf = (zone: string) => rankHosts(`reader/${zone}`, names.filter(name => name.startsWith(zone)));
const zone = ['a', 'b'].find(name => !fleetReader.startsWith(name)) ?? '';
const [zoneReader = '', next = ''] = readersOf(zone);

describe('chooseSource', () => {
	const cases = [
		{
			name: 'lets the fleet reader read the store', self: fleetReader, avoided: [], expected: fleetReader,
		},
		{
			name: 'lets a zone reader read from the fleet reader', self: zoneReader, avoided: [], expected: fleetReader,
		},
		{
			name: 'lets other hosts read from the reader of their zone', self: next, avoided: [], expected: zoneReader,
		},
		{
			name: 'lets a zone reader read the store when the fleet reader is avoided', self: zoneReader, avoided: [fleetReader], expected: zoneReader,
		},
		{
			name: 'lets the next host of a zone replace an avoided zone reader', self: next, avoided: [zoneReader], expected: fleetReader,
		},
		{
			name: 'lets the next host of a zone read the store when both readers are avoided', self: next, avoided: [zoneReader, fleetReader], expected: next,
		},
		{
			name: 'reads the store when all hosts are avoided', self: zoneReader, avoided: names, expected: zoneReader,
		},
	];
	for (const {name, self, avoided, expected} of cases) {
		it(name, () => {
			expect(choose(self, avoided)).to.equal(expected);
		});
	}

	it('reads from another zone when all hosts of its own are avoided, including itself', () => {
		const local = names.filter(name => name.startsWith(zone));
		expect(choose(zoneReader, local)).to.not.match(new RegExp(`^${zone}`, 'v'));
	});

	it('reads the store when no host is known', () => {
		expect(chooseSource({
			self: 'a1', zone: 'a', hosts: [], avoidedUntil: new Map(), now: 0,
		})).to.equal('a1');
	});
});
