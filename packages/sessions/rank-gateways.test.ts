import {expect} from 'chai';
import fc from 'fast-check';
import {rankGateways} from './rank-gateways.ts';

const hosts = ['a', 'b', 'c'].flatMap(zone => Array.from({length: 8}, (_, index) => ({name: `${zone}${index}`, zone})));
const instance = {id: 'i-1', zone: 'b'};
const shared = {
	instance, self: 'none', count: 3, hasConnectionPerWorkspace: false,
} as const;

describe('rankGateways', () => {
	it('places work of a workspace on a host of the instance\'s zone, whichever host asks', () => {
		const first = ['a', 'b', 'c'].map(zone => rankGateways({
			...shared, workspace: 'upper', zone, hosts,
		})[0]);
		expect(new Set(first).size).to.equal(1);
		expect(first[0]).to.match(/^b/v);
	});

	it('spreads workspaces over all gateways of an instance, and over no others', () => {
		const firsts = Array.from({length: 60}, (_, index) => rankGateways({
			...shared, workspace: `workspace-${index}`, zone: 'b', hosts,
		})[0]);
		const gateways = rankGateways({
			...shared, workspace: undefined, zone: 'b', hosts,
		}).slice(0, 3);
		expect([...new Set(firsts)]).to.have.members(gateways);
	});

	it('moves only the workspaces of a gateway that is gone', () => {
		fc.assert(fc.property(fc.string({minLength: 1, maxLength: 6}), workspace => {
			const question = {...shared, workspace, zone: 'a'} as const;
			const [first] = rankGateways({...question, hosts});
			const other = rankGateways({...question, workspace: undefined, hosts}).find(name => name !== first);
			const left = hosts.filter(({name}) => name !== other);
			expect(rankGateways({...question, hosts: left}).slice(0, 3)).to.include(first);
		}));
	});

	it('ends with a host of the asking zone, so that a lost zone is noticed outside it', () => {
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
			name: 'runs the work of its own callers itself where there is room', self: gateways, hasConnectionPerWorkspace: true, isOwnFirst: true,
		},
		{
			name: 'leaves work to the gateway of the workspace where there is none', self: gateways, hasConnectionPerWorkspace: false, isOwnFirst: false,
		},
		{
			name: 'sends work to a gateway when it is none', self: [other], hasConnectionPerWorkspace: true, isOwnFirst: false,
		},
	];
	for (const {name, self: selves, hasConnectionPerWorkspace, isOwnFirst} of cases) {
		it(name, () => {
			const firsts = selves.map(self => rankGateways({
				...shared, self, hasConnectionPerWorkspace, workspace: 'upper', zone: 'b', hosts,
			}));
			expect(firsts.every((hostsInOrder, index) => hostsInOrder[0] === selves[index])).to.equal(isOwnFirst);
			expect(firsts.every(hostsInOrder => new Set(hostsInOrder).size === hostsInOrder.length)).to.equal(true);
		});
	}
});
