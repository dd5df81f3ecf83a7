import {expect} from 'chai';
import {findConnectionLimit} from './pools/find-connection-limit.ts';
import {findGatewayCount} from './find-gateway-count.ts';

describe('findGatewayCount', () => {
	const cases = [
		{
			name: 'a few hosts and a low connection limit', hosts: 7, instances: 9, cap: 22, expected: {count: 3, limit: 5},
		},
		{
			name: 'a few hosts', hosts: 9, instances: 9, cap: 34, expected: {count: 3, limit: 8},
		},
		{
			name: 'tens of hosts', hosts: 89, instances: 18, cap: 90, expected: {count: 3, limit: 21},
		},
		{
			name: 'hundreds of hosts', hosts: 195, instances: 42, cap: 180, expected: {count: 2, limit: 58},
		},
		{
			name: 'the fleet size expected in two years', hosts: 940, instances: 3000, cap: 180, expected: {count: 2, limit: 58},
		},
		{
			name: 'a host that knows no other host yet', hosts: 0, instances: 0, cap: 34, expected: {count: 3, limit: 8},
		},
	];
	for (const {name, hosts, instances, cap, expected} of cases) {
		it(`suits ${name}`, () => {
			const count = findGatewayCount({hosts, instances});
			expect({count, limit: findConnectionLimit(cap, count)}).to.deep.equal(expected);
		});
	}
});
