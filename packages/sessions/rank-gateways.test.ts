import {expect} from 'chai';
import fc from 'fast-check';
import {rankGateways} from './rank-gateways.ts';

const hosts = ['a', 'b', 'c'].flatMap(zone => Array.from({length: 8}, (_, index) => ({name: `${zone}${index}`, zone})));
const instance = {id: 'i-1', zone: 'b'};
const shared = {
	instance, self: 'none', count: 3, hasConnectionPerWorkspace: false,
} as const;

describe('rankGateways', () => {
	it('assigns a workspace to the same host of the instance\'s zone from every zone', () => {
		const first = ['a', 'b', 'c'].map(zone => rankGateways({
			...shared, workspace: 'upper', zone, hosts,
		})[0]);
		expect(new Set(first).size).to.equal(1);
		expect(first[0]).to.match(/^b/v);
	});

	it('spreads workspaces over all gateways of an instance, and over no other hosts', () => {
		const firsts = Array.from({length: 60}, (_, index) => rankGateways({
			...shared, workspace: `workspace-${index}`, zone: 'b', hosts,
		})[0]);
		const gateways = rankGateways({
			...shared, workspace: undefined, zone: 'b', hosts,
		}).slice(0, 3);
		expect([...new Set(firsts)]).to.have.members(gateways);
	});

	it('keeps the gateway of a workspace among its first three hosts when another gateway leaves', () => {
		fc.assert(fc.property(fc.string({minLength: 1, maxLength: 6}), workspace => {
			const options = {...shared, workspace, zone: 'a'} as const;
			const [first] = rankGateways({...options, hosts});
			const other = rankGateways({...options, workspace: undefined, hosts}).find(name => name !== first);
			const remaining = hosts.filter(({name}) => name !== other);
			expect(rankGateways({...options, hosts: remaining}).slice(0, 3)).to.include(first);
		}));
	});

	it('ranks a host of the requesting zone last, so that the loss of a zone is detected outside it', () => {
		expect(rankGateways({
			...shared, workspace: 'upper', zone: 'c', hosts,
		}).at(-1)).to.match(/^c/v);
	});

	const gateways = rankGateways({
		...shared, workspace: undefined, zone: 'b', hosts,
	}).slice(0, 3);
	const other = hosts.find(({name, zone}) => zone === 'b' && !gateways.includes(name))?.name ?? '';
	const cases = [
		{
			name: 'runs the work of its own callers on a gateway when it can hold a connection per workspace', self: gateways, hasConnectionPerWorkspace: true, isOwnFirst: true,
		},
		{
			name: 'sends work to the gateway of the workspace when connections are scarce', self: gateways, hasConnectionPerWorkspace: false, isOwnFirst: false,
		},
		{
			name: 'sends work to a gateway when the host is not a gateway', self: [other], hasConnectionPerWorkspace: true, isOwnFirst: false,
		},
	];
	for (const {name, self: selves, hasConnectionPerWorkspace, isOwnFirst} of cases) {
		it(name, () => {
			const firsts = selves.map(self => rankGateways({
				...shared, self, hasConnectionPerWorkspace, workspace: 'upper', zone: 'b', hosts,
			}));
			expect(firsts.every((ranked, index) => ranked[0] === selves[index])).to.equal(isOwnFirst);
			expect(firsts.every(ranked => new Set(ranked).size === ranked.length)).to.equal(true);
		});
	}
});
