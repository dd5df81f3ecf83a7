import {expect} from 'chai';
import {assignWatch} from './assign-watch.ts';
import type {Group} from './group.ts';
import type {Host} from './host.ts';

const createHost = (id: string): Host => ({
	id, zone: id.slice(0, 1), address: '', isDeparting: false,
});
const hosts = ['a1', 'a2', 'b1', 'b2', 'c1'].map(id => createHost(id));
const group: Group = {
	database: 'pondbook',
	instances: ['a', 'b', 'c'].map(zone => ({
		id: `pondbook-${zone}`, zone, address: '', isDeparting: false,
	})),
};

describe('assignWatch', () => {
	const assign = (self: string, live: readonly Host[], listed = hosts) => assignWatch(group, {
		self, live, listed, present: undefined, now: 5,
	});

	it('assigns one watcher to each zone, in the same order on all hosts', () => {
		const watches = hosts.map(({id}) => assign(id, hosts)).filter(watch => watch !== undefined);
		expect(watches.map(({rank}) => rank).toSorted((a, b) => a - b)).to.deep.equal([0, 1, 2]);
	});

	it('requires a confirmation by another zone even when all hosts of the other zones are silent', () => {
		expect(assign('c1', [createHost('c1')])).to.deep.equal({
			rank: 0, needsConfirmation: true, others: [], since: 5,
		});
	});

	it('requires no confirmation when the platform lists hosts in a single zone', () => {
		expect(assign('c1', [createHost('c1')], [createHost('c1')])).to.have.property('needsConfirmation', false);
	});
});
