import {expect} from 'chai';
import type {HostRow} from '../host-row.ts';
import type {Versioned} from '../versioned.ts';
import {createHostChanges} from './create-host-changes.ts';

const createHosts = (...hosts: ReadonlyArray<readonly [name: string, incarnation: number]>): ReadonlyMap<string, Versioned<HostRow>> => new Map(hosts.map(([name, incarnation]) => [name, {
	name, incarnation, zone: 'a', address: '', version: 1,
}]));
const none = createHosts();
const both = createHosts(['a1', 1], ['b1', 1]);

// Guards against a failover that does not know that a host has ended which had acknowledged commits.
describe(createHostChanges.name, () => {
	const cases = [
		{name: 'the first rows', updates: [], expected: 0},
		{name: 'the first rows if a host joins', updates: [{hosts: createHosts(['a1', 1], ['b1', 1], ['c1', 1]), goneHosts: none}], expected: 0},
		{name: 'the end of a host that has left', updates: [{hosts: createHosts(['a1', 1]), goneHosts: none}], expected: 100},
		{name: 'the new start of a host', updates: [{hosts: createHosts(['a1', 1], ['b1', 2]), goneHosts: none}], expected: 100},
		{name: 'the first rows while a host is only marked as gone', updates: [{hosts: createHosts(['a1', 1]), goneHosts: createHosts(['b1', 1])}], expected: 0},
		{name: 'the removal of a host that was marked as gone', updates: [{hosts: createHosts(['a1', 1]), goneHosts: createHosts(['b1', 1])}, {hosts: createHosts(['a1', 1]), goneHosts: none}], expected: 200},
	];
	for (const {name, updates, expected} of cases) {
		it(`counts from ${name}`, () => {
			const changes = createHostChanges();
			changes.update({hosts: both, goneHosts: none}, 0);
			for (const [index, fleet] of updates.entries()) {
				changes.update(fleet, (index + 1) * 100);
			}

			expect(changes.findUnchangedSince()).to.equal(expected);
		});
	}
});
