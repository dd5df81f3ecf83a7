import {expect} from 'chai';
import {findNewestCommit} from './find-newest-commit.ts';

type Report = Parameters<typeof findNewestCommit>[0][number];

const createCommit = (number: bigint, epoch = 4): Report => ({mark: {epoch}, commit: {epoch, after: {term: 3, position: number}}});

// Guards against a failover that does not know of a commit which one host has acknowledged, or that asks for those of an earlier primary.
describe(findNewestCommit.name, () => {
	const cases: ReadonlyArray<{readonly name: string; readonly reports: readonly Report[]; readonly expected: bigint | undefined}> = [
		{name: 'the farthest commit of all hosts', reports: [createCommit(7n), createCommit(9n), createCommit(8n)], expected: 9n},
		{name: 'the farthest commit of the latest primary', reports: [createCommit(90n, 3), createCommit(9n)], expected: 9n},
		{name: 'none if no host has acknowledged a commit', reports: [{mark: {epoch: 4}, commit: undefined}, {mark: undefined, commit: undefined}], expected: undefined},
		{name: 'none if all commits are those of an earlier primary than another host knows', reports: [createCommit(90n, 3), {mark: {epoch: 4}, commit: undefined}], expected: undefined},
		{name: 'none without hosts', reports: [], expected: undefined},
	];
	for (const {name, reports, expected} of cases) {
		it(`finds ${name}`, () => {
			expect(findNewestCommit(reports)?.position).to.equal(expected);
		});
	}
});
