import {expect} from 'chai';
import {addLogMark} from './add-log-mark.ts';

const createMark = (at: number, number: bigint, epoch = 4) => ({epoch, position: {term: 3, position: number}, requestedAt: {steady: at, wall: at}});

// Guards against a mark that falls behind a commit which the host has acknowledged.
describe(addLogMark.name, () => {
	const known = createMark(100, 7n);
	const cases = [
		{
			name: 'takes the first answer', before: undefined, added: known, expected: known,
		},
		{
			name: 'moves on with a later answer', before: known, added: createMark(200, 8n), expected: createMark(200, 8n),
		},
		{
			name: 'keeps the newest position when answers overtake each other', before: known, added: createMark(200, 6n), expected: createMark(200, 7n),
		},
		{
			name: 'keeps the latest request when answers overtake each other', before: known, added: createMark(50, 8n), expected: createMark(100, 8n),
		},
		{
			name: 'begins anew with a later primary', before: known, added: createMark(200, 2n, 5), expected: createMark(200, 2n, 5),
		},
		{
			name: 'ignores an earlier primary', before: known, added: createMark(200, 9n, 3), expected: known,
		},
	];
	for (const {name, before, added, expected} of cases) {
		it(name, () => {
			expect(addLogMark(before, added)).to.deep.equal(expected);
		});
	}
});
