import {expect} from 'chai';
import {chooseEviction} from './choose-eviction.ts';

describe('chooseEviction', () => {
	const demands: Readonly<Record<string, number>> = {busy: 9, quiet: 1, other: 1};
	const cases = [
		{name: 'closes none when none is idle', idle: [], expected: undefined},
		{name: 'closes that of a workspace with little demand before the oldest', idle: ['busy', 'quiet'], expected: 1},
		{name: 'closes the oldest of workspaces with as little demand', idle: ['busy', 'quiet', 'other'], expected: 1},
		{name: 'closes one of many connections of a workspace', idle: [...Array.from({length: 10}, () => 'busy'), 'quiet'], expected: 0},
	];
	for (const {name, idle, expected} of cases) {
		it(name, () => {
			const connections = idle.map((workspace, index) => ({workspace, idleSince: index}));
			expect(chooseEviction(connections, workspace => demands[workspace] ?? 0)?.idleSince).to.equal(expected);
		});
	}
});
