import {expect} from 'chai';
import {findCopyTask} from './find-copy-task.ts';
import type {LogCopy} from './log-copy.ts';
import {maxCopies} from './max-copies.ts';

const a: LogCopy = {id: 'i-a', born: 1};
const b: LogCopy = {id: 'i-b', born: 1};
const bAgain: LogCopy = {id: 'i-b', born: 2};
const c: LogCopy = {id: 'i-c', born: 1};
const all = [a, b, c];
const many = Array.from({length: maxCopies}, (_, index) => ({id: `i-${index}`}));

// Guards against a row that does not name a log which may alone hold acknowledged commits, or names one for ever that nobody needs (review/12).
describe(findCopyTask.name, () => {
	const cases: ReadonlyArray<{readonly name: string; readonly isSynchronous?: boolean; readonly copies: readonly LogCopy[] | undefined; readonly listed?: readonly LogCopy[]; readonly expected: ReturnType<typeof findCopyTask>}> = [
		{
			name: 'nothing for a group whose commits need no replica', isSynchronous: false, copies: undefined, expected: undefined,
		},
		{
			name: 'drops the copies of a group whose commits need no replica any more', isSynchronous: false, copies: all, expected: {kind: 'write', copies: undefined},
		},
		{name: 'writes all listed copies into a row that names none', copies: undefined, expected: {kind: 'write', copies: all}},
		{name: 'adds the copy of a new instance', copies: [a, b], expected: {kind: 'write', copies: all}},
		{name: 'nothing if the row names all', copies: all, expected: undefined},
		{
			name: 'keeps the copy of an instance that has started again, beside its new one', copies: all, listed: [a, bAgain, c], expected: {kind: 'write', copies: [...all, bAgain]},
		},
		{
			name: 'checks whether the earlier copy of that instance is needed', copies: [...all, bAgain], listed: [a, bAgain, c], expected: {kind: 'check', missing: [b]},
		},
		{
			name: 'checks whether the copy of an instance is needed that is not listed', copies: all, listed: [a, c], expected: {kind: 'check', missing: [b]},
		},
		{
			name: 'nothing while the primary is not listed', copies: all, listed: [b, c], expected: undefined,
		},
		{
			name: 'drops none while the primary has started again', copies: [...all, {...a, born: 2}], listed: [{...a, born: 2}, c], expected: undefined,
		},
		{
			name: 'adds no copy beyond the limit', copies: [a, ...many.slice(1)], listed: [a, ...many.slice(1), c], expected: undefined,
		},
	];
	for (const {name, isSynchronous = true, copies, listed = all, expected} of cases) {
		it(name, () => {
			expect(findCopyTask({
				isSynchronous, copies, listed, primary: 'i-a',
			})).to.deep.equal(expected);
		});
	}
});
