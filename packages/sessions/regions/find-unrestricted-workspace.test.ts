import {expect} from 'chai';
import {findUnrestrictedWorkspace} from './find-unrestricted-workspace.ts';

describe('findUnrestrictedWorkspace', () => {
	const limit = {rate: 1, burst: 1};
	const north = new Set(['north']);
	const cases = [
		{
			name: 'finds a workspace without a restriction', workspaces: ['upper', 'lower'], restricted: ['upper'], expected: 'lower',
		},
		{
			name: 'finds one with a restriction if all have one', workspaces: ['upper', 'lower'], restricted: ['upper', 'lower'], expected: 'upper',
		},
		{
			name: 'finds none where there is none', workspaces: [], restricted: [], expected: undefined,
		},
	];
	for (const {name, workspaces, restricted, expected} of cases) {
		it(name, () => {
			expect(findUnrestrictedWorkspace({
				limits: new Map(workspaces.map(workspace => [workspace, limit])),
				allowedRegions: new Map(restricted.map(workspace => [workspace, north])),
			})).to.equal(expected);
		});
	}
});
