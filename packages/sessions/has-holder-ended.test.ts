import {expect} from 'chai';
import type {GroupRow} from './group-row.ts';
import {hasHolderEnded} from './has-holder-ended.ts';
import type {HostRow} from './host-row.ts';
import type {Versioned} from './versioned.ts';

const createHosts = (...rows: ReadonlyArray<readonly [string, number]>): ReadonlyMap<string, Versioned<HostRow>> => new Map(rows.map(([name, incarnation]) => [name, {
	name, zone: 'a', address: '', incarnation, version: 1,
}]));
const row: GroupRow = {
	epoch: 3, state: 'fencing', primary: 'i-1', successor: '', holder: 'a1', holderIncarnation: 7, token: 2,
};

describe(hasHolderEnded.name, () => {
	const cases = [
		{
			name: 'a process that goes on', row, hosts: createHosts(['a1', 7]), goneHosts: createHosts(), expected: false,
		},
		{
			name: 'a host that has started again, as after a loss of power of all hosts', row, hosts: createHosts(['a1', 8]), goneHosts: createHosts(), expected: true,
		},
		{
			name: 'a host that has left', row, hosts: createHosts(['b1', 5]), goneHosts: createHosts(), expected: true,
		},
		{
			name: 'a host that is marked as gone, but may only be cut off', row, hosts: createHosts(), goneHosts: createHosts(['a1', 7]), expected: false,
		},
		{
			name: 'a row of a version that names no process', row: {
				epoch: 3, state: 'fencing', primary: 'i-1', successor: '', holder: 'a1', token: 2,
			} as const, hosts: createHosts(['a1', 8]), goneHosts: createHosts(), expected: false,
		},
	];
	for (const {name, expected, row: given, ...fleet} of cases) {
		it(`${expected ? 'finds' : 'does not find'} that it has ended for ${name}`, () => {
			expect(hasHolderEnded(given, fleet)).to.equal(expected);
		});
	}
});
