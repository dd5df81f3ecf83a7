import {expect} from 'chai';
import {listCutStatements} from './list-cut-statements.ts';
import type {InstanceGroup} from './instance-group.ts';
import type {SoakMessage} from './soak-message.ts';
import type {SoakProcess} from './soak-process.ts';
import type {SoakSession} from './soak-session.ts';

const stoppedAt = 1000;
const host = {} as SoakSession['host']; // eslint-disable-line @typescript-eslint/consistent-type-assertions -- only compared

const answered: SoakMessage = {
	id: 'answered', text: 'WRITE a 1', sentAt: 3000, endedAt: 3050, rows: [], result: 'COMPLETE i', state: 'I',
};
const unanswered: SoakMessage = {
	...answered, id: 'unanswered', result: '', state: '',
};

type Case = {
	readonly name: string;
	readonly message: SoakMessage;
	readonly closedAt?: number;
	readonly isClosedByHost?: boolean;
	readonly isReadLate?: boolean;
	readonly isExecuted?: boolean;
	readonly signals?: ReturnType<SoakProcess['signals']>;
	readonly isSlowed?: boolean;
	readonly rules: readonly string[];
};

describe('listCutStatements', () => {
	const cases: readonly Case[] = [
		{
			name: 'an answer', message: answered, isExecuted: true, rules: [],
		},
		{
			name: 'a statement that ran and has no answer', message: unanswered, isExecuted: true, rules: ['LOST'],
		},
		{name: 'a statement that crossed the close', message: unanswered, rules: []},
		{name: 'a statement that the host must have read', message: {...unanswered, endedAt: 3300}, rules: ['LOST']},
		{
			name: 'a client that reads late', message: {...unanswered, endedAt: 3300}, isReadLate: true, rules: [],
		},
		{
			name: 'a client that left', message: unanswered, isExecuted: true, isClosedByHost: false, rules: [],
		},
		{
			name: 'a host that was killed', message: unanswered, isExecuted: true, signals: [{at: 900, signal: 'SIGKILL'}], rules: [],
		},
		{
			name: 'a host that was killed after its end', message: unanswered, isExecuted: true, signals: [{at: 1000, signal: 'SIGTERM'}, {at: 5000, signal: 'SIGKILL'}], rules: ['LOST'],
		},
		{
			name: 'a host that was slowed', message: unanswered, isExecuted: true, isSlowed: true, rules: [],
		},
		{
			name: 'a host without SIGTERM', message: answered, signals: [], rules: ['LOST'],
		},
		{
			name: 'an open transaction in the first half', message: {...answered, state: 'T'}, closedAt: 3900, rules: ['DRAIN'],
		},
		{
			name: 'an open transaction in the second half', message: {...answered, state: 'T'}, closedAt: 4100, rules: [],
		},
	];
	for (const {
		name, message, closedAt = message.endedAt, isClosedByHost = true, isReadLate = false, isExecuted = false, signals = [{at: stoppedAt, signal: 'SIGTERM' as const}], isSlowed = false, rules,
	} of cases) {
		it(`judges ${name}`, () => {
			const findings = listCutStatements({
				sessions: [{
					client: 0, host, database: 'latest', key: 'good', openedAt: 0, startState: 'I', messages: [message], closedAt, isClosedByHost, isReadLate,
				}],
				processes: [{host, signals: () => signals, isSlowed: () => isSlowed} as unknown as SoakProcess],
				groups: isExecuted ? [{instances: [{executedStatements: () => [{id: message.id, text: message.text}]}]} as unknown as InstanceGroup] : [],
				gracePeriodMs: 6000,
				findLateness: () => 0,
			});
			expect(findings.map(({rule}) => rule)).to.deep.equal(rules);
		});
	}
});
