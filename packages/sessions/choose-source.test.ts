import {expect} from 'chai';
import {chooseSource} from './choose-source.ts';

const row = (name: string) => ({
	name, zone: name.slice(0, 1), address: '', incarnation: 1,
});
const hosts = ['a1', 'a2', 'a3', 'b1', 'c1'].map(name => row(name));
const choose = (self: string, avoided: readonly string[] = []) => chooseSource({
	self, zone: self.slice(0, 1), hosts, avoidedUntil: new Map(avoided.map(name => [name, 100])), now: 50,
});

describe('chooseSource', () => {
	it('lets one host of a zone read for all of it', () => {
		expect(new Set(['a1', 'a2', 'a3'].map(self => choose(self))).size).to.equal(1);
	});

	it('takes the next of the zone when the first does not know enough', () => {
		const first = choose('a1');
		expect(choose('a1', [first])).to.match(/^a/v).and.not.equal(first);
	});

	it('asks another zone when none of its own knows enough', () => {
		expect(choose('a1', ['a1', 'a2', 'a3'])).to.match(/^[bc]/v);
	});

	it('reads itself when nobody knows enough, or nobody is known', () => {
		expect(choose('a1', ['a1', 'a2', 'a3', 'b1', 'c1'])).to.equal('a1');
		expect(chooseSource({
			self: 'a1', zone: 'a', hosts: [], avoidedUntil: new Map(), now: 0,
		})).to.equal('a1');
	});
});
