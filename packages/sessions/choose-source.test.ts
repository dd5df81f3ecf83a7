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
			name: 'reads the store for the whole fleet', self: fleetReader, avoided: [], expected: fleetReader,
		},
		{
			name: 'asks the reader of the fleet on behalf of a zone', self: zoneReader, avoided: [], expected: fleetReader,
		},
		{
			name: 'asks the first host of its zone', self: next, avoided: [], expected: zoneReader,
		},
		{
			name: 'reads for its zone when the reader of the fleet knows too little', self: zoneReader, avoided: [fleetReader], expected: zoneReader,
		},
		{
			name: 'takes the place of the first of its zone when that knows too little', self: next, avoided: [zoneReader], expected: fleetReader,
		},
		{
			name: 'reads for its zone when neither knows enough', self: next, avoided: [zoneReader, fleetReader], expected: next,
		},
		{
			name: 'reads itself when nobody knows enough', self: zoneReader, avoided: names, expected: zoneReader,
		},
	];
	for (const {name, self, avoided, expected} of cases) {
		it(name, () => {
			expect(choose(self, avoided)).to.equal(expected);
		});
	}

	it('asks another zone when none of its own knows enough, not even itself', () => {
		const local = names.filter(name => name.startsWith(zone));
		expect(choose(zoneReader, local)).to.not.match(new RegExp(`^${zone}`, 'v'));
	});

	it('asks the store where no host is known', () => {
		expect(chooseSource({
			self: 'a1', zone: 'a', hosts: [], avoidedUntil: new Map(), now: 0,
		})).to.equal('a1');
	});
});
