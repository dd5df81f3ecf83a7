import {expect} from 'chai';
import {createSoakGroup} from './_create-soak-group.ts';
import {createSoakSession} from './_create-soak-session.ts';
import {listSoakWrites} from './list-soak-writes.ts';
import {listWrongEffects} from './list-wrong-effects.ts';

type Commit = Parameters<typeof createSoakGroup>[0][number];
type Messages = Parameters<typeof createSoakSession>[0]['messages'];

const write: Messages = [{text: 'WRITE a of-a'}];
const transaction: Messages = [{text: 'BEGIN', result: 'COMPLETE -', state: 'T'}, {text: 'WRITE a of-a', state: 'T'}, {text: 'COMMIT'}];
const kept: Commit = {item: 'a', count: 1};
const lost: Commit = {item: 'a', count: 0};

describe('listWrongEffects', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly messages: Messages; readonly commits: readonly Commit[]; readonly isSynchronous?: boolean; readonly rules: readonly string[]}> = [
		{
			name: 'a write that is kept', messages: write, commits: [kept], rules: [],
		},
		{
			name: 'a transaction that is kept', messages: transaction, commits: [kept], rules: [],
		},
		{
			name: 'a write that is lost without a promotion', messages: write, commits: [lost], rules: ['LOST (acknowledged)'],
		},
		{
			name: 'a transaction that is lost without a promotion', messages: transaction, commits: [lost], rules: ['LOST (acknowledged)'],
		},
		{
			name: 'a write that no instance committed', messages: write, commits: [], rules: ['LOST (acknowledged)'],
		},
		{
			name: 'a write that a promotion rolled back', messages: write, commits: [{...lost, isRolledBack: true}], rules: [],
		},
		{
			name: 'a transaction that a promotion rolled back', messages: transaction, commits: [{...lost, isRolledBack: true}], rules: [],
		},
		{
			name: 'a write that a promotion rolled back though a replica had it', messages: write, commits: [{...lost, isRolledBack: true}], isSynchronous: true, rules: ['LOST (acknowledged)'],
		},
		{
			name: 'a write that was committed behind a promotion', messages: write, commits: [{...lost, isBehindPromotion: true}],
			rules: ['ONE (committed behind a promotion, acknowledged)'],
		},
		{
			name: 'a transaction that was committed behind a promotion', messages: transaction, commits: [{...lost, isBehindPromotion: true}],
			rules: ['ONE (committed behind a promotion, acknowledged)'],
		},
		{
			name: 'a write that was committed behind a promotion, without an answer', messages: [{text: 'WRITE a of-a', result: '', state: ''}],
			commits: [{...lost, isBehindPromotion: true}], rules: [],
		},
		{
			name: 'a write that took effect twice', messages: write, commits: [{...kept, count: 2}], rules: ['TWICE'],
		},
		{
			name: 'a write that was refused and kept', messages: [{text: 'WRITE a of-a', result: 'ERROR BUSY'}], commits: [kept], rules: ['REFUSED'],
		},
		{
			name: 'a write without an answer that is kept', messages: [{text: 'WRITE a of-a', result: '', state: ''}], commits: [kept], rules: [],
		},
		{
			name: 'a write without an answer that is lost', messages: [{text: 'WRITE a of-a', result: '', state: ''}], commits: [lost], rules: [],
		},
	];
	for (const {name, messages, commits, isSynchronous, rules} of cases) {
		it(`judges ${name}`, () => {
			const writes = listSoakWrites(createSoakSession({messages}));
			const findings = listWrongEffects({groups: [createSoakGroup(commits, isSynchronous)]}, writes);
			expect(findings.map(({rule}) => rule)).to.deep.equal(rules);
		});
	}
});
