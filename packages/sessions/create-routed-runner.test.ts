import {expect} from 'chai';
import {createRoutedRunner} from './create-routed-runner.ts';
import type {Gateways} from './gateways.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';

const done: JobAnswer = {
	kind: 'answered', outcome: {kind: 'done', rows: [], signature: '7'}, state: 'idle', position: undefined,
};
const job: Job = {
	kind: 'single',
	workspace: 'upper',
	priority: 1,
	caller: {database: 'ponds', keyDigest: ''},
	timeout: 500,
	setup: {variables: new Map(), prepared: new Map()},
	query: {
		id: '1', text: 'WRITE a b', access: 'write', execute: undefined,
	},
	after: undefined,
};

const read: Job = {
	...job,
	query: {
		id: '1', text: 'READ a', access: 'read', execute: undefined,
	},
};

type Case = {
	readonly name: string;
	/** What each gateway says, in the order in which they are tried; `dark` does not answer whether it is there. */
	readonly says: Readonly<Record<string, JobAnswer | 'notServed' | 'dark' | 'avoided' | undefined>>;
	/** A write unless it is said. */
	readonly work?: 'read';
	readonly maySend?: boolean;
	readonly expected: {readonly kind: JobAnswer['kind']; readonly asked: readonly string[]; readonly isLocal?: boolean};
};

const cases: readonly Case[] = [
	{
		name: 'the first that can be reached runs the job', says: {b1: 'dark', b2: done, b3: done}, expected: {kind: 'answered', asked: ['b2']},
	},
	{
		name: 'a read does not wait for the answer whether a gateway is there, and goes elsewhere when it is not',
		work: 'read',
		says: {b1: 'dark', b2: done},
		expected: {kind: 'answered', asked: ['b1', 'b2']},
	},
	{
		name: 'one that gave no answer a moment ago is not tried', work: 'read', says: {b1: 'avoided', b2: done}, expected: {kind: 'answered', asked: ['b2']},
	},
	{
		name: 'one that takes no work is passed over', says: {b1: 'notServed', b2: done}, expected: {kind: 'answered', asked: ['b1', 'b2']},
	},
	{
		name: 'one that is cut off from the instance is passed over',
		says: {b1: {kind: 'notSent', reason: '', isUnreachable: true}, b2: done},
		expected: {kind: 'answered', asked: ['b1', 'b2']},
	},
	{
		name: 'one that was given the job and is silent may have run it', says: {b1: undefined, b2: done}, expected: {kind: 'lost', asked: ['b1']},
	},
	{
		name: 'a refusal of the gateway is passed on', says: {b1: {kind: 'notSent', reason: 'no connection'}, b2: done}, expected: {kind: 'notSent', asked: ['b1']},
	},
	{
		name: 'this host itself is used when its turn comes', says: {b1: 'dark', self: undefined}, expected: {kind: 'answered', asked: [], isLocal: true},
	},
	{
		name: 'nothing is sent when no gateway can be reached', says: {b1: 'dark', b2: 'dark'}, expected: {kind: 'notSent', asked: []},
	},
	{
		name: 'nothing is sent once the right to send is lost', says: {b1: done}, maySend: false, expected: {kind: 'notSent', asked: []},
	},
];

describe('createRoutedRunner', () => {
	for (const {
		name, says, work, maySend = true, expected,
	} of cases) {
		it(name, async () => {
			const asked: string[] = [];
			let isLocal = false;
			const gateways: Gateways = {
				self: 'self',
				list: () => Object.keys(says),
				isAvoided: host => says[host] === 'avoided',
				isAnswering: async host => says[host] !== 'dark',
				async runJob(host) {
					asked.push(host);
					const answer = says[host];
					return new Promise(resolve => {
						if (answer !== 'dark' && answer !== 'avoided') {
							resolve(answer);
						}
					});
				},
			};
			const run = createRoutedRunner({
				listed: () => ({
					id: 'i', group: 'g', host: '', port: 0, zone: 'b', slots: 5, isDeparting: false, role: 'primary',
				}),
				async local() {
					isLocal = true;
					return done;
				},
				gateways,
				note: () => undefined,
				now: () => 0,
			});
			const {answer} = await run(work === 'read' ? read : job, () => maySend);
			expect({kind: answer.kind, asked, isLocal}).to.deep.equal({isLocal: false, ...expected});
		});
	}
});
