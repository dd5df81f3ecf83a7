import {expect} from 'chai';
import {addCommitMark} from './add-commit-mark.ts';

const createMark = (number: bigint, {epoch = 4, term = 3}: {readonly epoch?: number; readonly term?: number} = {}) => ({epoch, after: {term, position: number}});

// Guards against a mark that forgets a commit which the host has acknowledged.
describe(addCommitMark.name, () => {
	const known = createMark(7n);
	const cases = [
		{
			name: 'takes the first commit', before: undefined, added: known, expected: known,
		},
		{
			name: 'moves on with a commit that is farther in the log', before: known, added: createMark(8n), expected: createMark(8n),
		},
		{
			name: 'keeps the farthest commit when answers overtake each other', before: known, added: createMark(6n), expected: known,
		},
		{
			name: 'takes a commit after one of an earlier term', before: known, added: createMark(2n, {term: 4}), expected: createMark(2n, {term: 4}),
		},
		{
			name: 'begins anew with a later primary', before: known, added: createMark(2n, {epoch: 5}), expected: createMark(2n, {epoch: 5}),
		},
		{
			name: 'ignores an earlier primary', before: known, added: createMark(9n, {epoch: 3}), expected: known,
		},
	];
	for (const {name, before, added, expected} of cases) {
		it(name, () => {
			expect(addCommitMark(before, added)).to.deep.equal(expected);
		});
	}
});
