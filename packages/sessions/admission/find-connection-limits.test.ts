import {expect} from 'chai';
import {findConnectionLimits} from './find-connection-limits.ts';

const megabytes = 1e6;

describe('findConnectionLimits', () => {
	const cases = [
		{
			name: 'takes the sessions of a fleet of some thousands at one host', machine: {descriptors: 4200, memoryBytes: 160 * megabytes}, expected: {callers: 2880, hosts: 1000, monitoring: 64},
		},
		{
			name: 'is bound by memory where descriptors abound', machine: {descriptors: 100_000, memoryBytes: 160 * megabytes}, expected: {callers: 3255, hosts: 24_950, monitoring: 64},
		},
		{
			name: 'keeps connections for other hosts where there are few', machine: {descriptors: 300, memoryBytes: 160 * megabytes}, expected: {callers: 72, hosts: 32, monitoring: 64},
		},
		{
			name: 'bounds only checks and metrics without limits of the machine',
			machine: {descriptors: Number.POSITIVE_INFINITY, memoryBytes: Number.POSITIVE_INFINITY},
			expected: {callers: Number.POSITIVE_INFINITY, hosts: Number.POSITIVE_INFINITY, monitoring: 64},
		},
	];
	it('takes the callers that each host of a fleet of 940 has, and the other hosts', () => {
		const {callers, hosts} = findConnectionLimits({descriptors: 4200, memoryBytes: 350 * megabytes});
		expect(callers).to.be.at.least(2870);
		expect(hosts).to.be.at.least(939);
	});

	for (const {name, machine, expected} of cases) {
		it(name, () => {
			expect(findConnectionLimits(machine)).to.deep.equal(expected);
		});
	}
});
