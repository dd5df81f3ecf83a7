import {expect} from 'chai';
import fc from 'fast-check';
import {rankGateways} from './rank-gateways.ts';

const hosts = ['a', 'b', 'c'].flatMap(zone => Array.from({length: 8}, (_, index) => ({name: `${zone}${index}`, zone})));
const instance = {id: 'i-1', zone: 'b'};

describe('rankGateways', () => {
	it('places work of a workspace on a host of the instance\'s zone, whichever host asks', () => {
		const first = ['a', 'b', 'c'].map(zone => rankGateways({
			instance, workspace: 'upper', zone, hosts,
		})[0]);
		expect(new Set(first).size).to.equal(1);
		expect(first[0]).to.match(/^b/v);
	});

	it('spreads workspaces over all gateways of an instance, and over no others', () => {
		const firsts = Array.from({length: 60}, (_, index) => rankGateways({
			instance, workspace: `workspace-${index}`, zone: 'b', hosts,
		})[0]);
		const gateways = rankGateways({
			instance, workspace: undefined, zone: 'b', hosts,
		}).slice(0, 3);
		expect([...new Set(firsts)]).to.have.members(gateways);
	});

	it('moves only the workspaces of a gateway that is gone', () => {
		fc.assert(fc.property(fc.string({minLength: 1, maxLength: 6}), workspace => {
			const question = {instance, workspace, zone: 'a'} as const;
			const [first] = rankGateways({...question, hosts});
			const other = rankGateways({...question, workspace: undefined, hosts}).find(name => name !== first);
			const left = hosts.filter(({name}) => name !== other);
			expect(rankGateways({...question, hosts: left}).slice(0, 3)).to.include(first);
		}));
	});

	it('ends with a host of the asking zone, so that a lost zone is noticed outside it', () => {
		expect(rankGateways({
			instance, workspace: 'upper', zone: 'c', hosts,
		}).at(-1)).to.match(/^c/v);
	});
});
