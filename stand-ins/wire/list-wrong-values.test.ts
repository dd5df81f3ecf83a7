import {expect} from 'chai';
import {createSoakSession} from './_create-soak-session.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import {listWrongValues} from './list-wrong-values.ts';

type Messages = Parameters<typeof createSoakSession>[0]['messages'];

describe('listWrongValues', () => {
	const set = {text: 'SET a 2', result: 'COMPLETE -'};
	const cases: ReadonlyArray<{readonly name: string; readonly messages: Messages; readonly ran: ReadonlyArray<readonly [string, string]>; readonly count: number}> = [
		{
			name: 'the value that was acknowledged', messages: [set, {id: 'x', text: 'COMMIT'}], ran: [['a', '2']], count: 0,
		},
		{
			name: 'an earlier value', messages: [{text: 'SET a 1'}, set, {id: 'x', text: 'COMMIT'}], ran: [['a', '1']], count: 1,
		},
		{
			name: 'no value', messages: [set, {id: 'x', text: 'COMMIT'}], ran: [], count: 1,
		},
		{
			name: 'a value of another session', messages: [{id: 'x', text: 'READ b'}], ran: [['a', '1']], count: 1,
		},
		{
			name: 'no value, since it was refused', messages: [{...set, result: 'ERROR BUSY'}, {id: 'x', text: 'READ b'}], ran: [], count: 0,
		},
		{
			name: 'a value that was set later', messages: [{id: 'x', text: 'READ b'}, set], ran: [['a', '2']], count: 1,
		},
	];
	for (const {name, messages, ran, count} of cases) {
		it(`finds ${count} for a statement that ran with ${name}`, () => {
			const executed = [{
				id: 'x', text: '', variables: new Map(ran), at: 0,
			}];
			const instance = {executedStatements: () => executed} as unknown as InstanceStandIn;
			const group = {
				name: 'g', isSynchronous: false, instances: [instance], leader: () => instance, commits: () => [],
			};
			expect(listWrongValues({sessions: [createSoakSession({messages})], groups: [group]}).map(({rule}) => rule)).to.deep.equal(Array.from({length: count}, () => 'PINNED'));
		});
	}
});
