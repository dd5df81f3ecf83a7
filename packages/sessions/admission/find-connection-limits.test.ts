import {expect} from 'chai';
import {findConnectionLimits} from './find-connection-limits.ts';

const megabytes = 1e6;

describe('findConnectionLimits', () => {
	const cases = [
		{
			name: 'takes the sessions of a fleet of some thousands at one host', machine: {descriptors: 4200, memoryBytes: 160 * megabytes}, expected: {callers: 2800, hosts: 400, monitoring: 64},
		},
		{
			name: 'is bound by memory where descriptors abound', machine: {descriptors: 100_000, memoryBytes: 160 * megabytes}, expected: {callers: 3255, hosts: 9980, monitoring: 64},
		},
		{
			name: 'keeps connections for other hosts where there are few', machine: {descriptors: 300, memoryBytes: 160 * megabytes}, expected: {callers: 70, hosts: 32, monitoring: 64},
		},
		{
			name: 'bounds only checks and metrics without limits of the machine',
			machine: {descriptors: Number.POSITIVE_INFINITY, memoryBytes: Number.POSITIVE_INFINITY},
			expected: {callers: Number.POSITIVE_INFINITY, hosts: Number.POSITIVE_INFINITY, monitoring: 64},
		},
	];
	for (const {name, machine, expected} of cases) {
		it(name, () => {
			expect(findConnectionLimits(machine)).to.deep.equal(expected);
		});
	}
});
