import {expect} from 'chai';
import {findAllowedRegions} from './find-allowed-regions.ts';

const create = (names: readonly string[] | undefined) => names && new Set(names);

describe('findAllowedRegions', () => {
	const cases = [
		{
			name: 'restricts nothing without lists', route: undefined, workspace: undefined, expected: undefined,
		},
		{
			name: 'lets the list of the route bind alone', route: ['north'], workspace: undefined, expected: ['north'],
		},
		{
			name: 'lets the list of the workspace bind alone', route: undefined, workspace: ['south'], expected: ['south'],
		},
		{
			name: 'lets both lists bind', route: ['north', 'east'], workspace: ['east', 'south'], expected: ['east'],
		},
		{
			name: 'allows no region when the lists have none in common', route: ['north'], workspace: ['south'], expected: [],
		},
	];
	for (const {name, route, workspace, expected} of cases) {
		it(name, () => {
			expect(findAllowedRegions(create(route), create(workspace))).to.deep.equal(create(expected));
		});
	}
});
