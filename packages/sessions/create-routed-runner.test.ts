import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createRoutedRunner} from './create-routed-runner.ts';
import type {Gateways} from './gateways.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import type {ListedInstance} from './listed-instance.ts';

const done: JobAnswer = {
	kind: 'answered', outcome: {kind: 'done', rows: [], signature: '7'}, state: 'idle', position: undefined,
};
const base = {
	workspace: 'upper', priority: 1, caller: {database: 'ponds', keyDigest: ''}, timeout: 500, setup: {variables: new Map(), prepared: new Map()},
};
const job: Job = {
	...base,
	kind: 'single',
	query: {
		id: '1', text: 'WRITE a b', access: 'write', execute: undefined,
	},
	after: undefined,
};

const listed: ListedInstance = {
	id: 'i', group: 'g', host: '', port: 0, zone: 'b', slots: 5, isDeparting: false, role: 'primary',
};

const read: Job = {
	...job,
	query: {
		id: '1', text: 'READ a', access: 'read', execute: undefined,
	},
};

type Case = {
	readonly name: string;
	/** Answer of each gateway, in the order in which they are tried; an `unreachable` gateway does not answer the ping. */
	readonly answers: Readonly<Record<string, JobAnswer | 'notServed' | 'unreachable' | 'avoided' | undefined>>;
	/** `read` for a read; otherwise the job is a write. */
	readonly access?: 'read';
	readonly maySend?: boolean;
	/** Regions to which the job is restricted, in which the gateway `far` is not. */
	readonly regions?: readonly string[];
	readonly expected: {readonly kind: JobAnswer['kind']; readonly requested: readonly string[]; readonly isLocal?: boolean};
};

const cases: readonly Case[] = [
	{
		name: 'the first reachable gateway runs the job', answers: {b1: 'unreachable', b2: done, b3: done}, expected: {kind: 'answered', requested: ['b2']},
	},
	{
		name: 'a read is sent without waiting for the ping, and goes to the next gateway when the ping fails',
		access: 'read',
		answers: {b1: 'unreachable', b2: done},
		expected: {kind: 'answered', requested: ['b1', 'b2']},
	},
	{
		name: 'a gateway in backoff is not tried', access: 'read', answers: {b1: 'avoided', b2: done}, expected: {kind: 'answered', requested: ['b2']},
	},
	{
		name: 'a gateway that accepts no work is skipped', answers: {b1: 'notServed', b2: done}, expected: {kind: 'answered', requested: ['b1', 'b2']},
	},
	{
		name: 'a gateway that cannot reach the instance is skipped',
		answers: {b1: {kind: 'notSent', reason: '', isUnreachable: true}, b2: done},
		expected: {kind: 'answered', requested: ['b1', 'b2']},
	},
	{
		name: 'the answer is lost when a gateway received a write and does not answer', answers: {b1: undefined, b2: done}, expected: {kind: 'lost', requested: ['b1']},
	},
	{
		name: 'a refusal of the gateway is returned', answers: {b1: {kind: 'notSent', reason: 'no connection'}, b2: done}, expected: {kind: 'notSent', requested: ['b1']},
	},
	{
		name: 'this host runs the job itself when it is next in the list', answers: {b1: 'unreachable', self: undefined}, expected: {kind: 'answered', requested: [], isLocal: true},
	},
	{
		name: 'nothing is sent when no gateway is reachable', answers: {b1: 'unreachable', b2: 'unreachable'}, expected: {kind: 'notSent', requested: []},
	},
	{
		name: 'a host outside of the allowed regions does not receive the job', regions: ['north'], answers: {far: done, b1: done}, expected: {kind: 'answered', requested: ['b1']},
	},
	{
		name: 'nothing is sent when no gateway is in an allowed region', regions: ['north'], answers: {far: done}, expected: {kind: 'notSent', requested: []},
	},
	{
		name: 'nothing is sent when the job may no longer be sent', answers: {b1: done}, maySend: false, expected: {kind: 'notSent', requested: []},
	},
];

describe('createRoutedRunner', () => {
	for (const {
		name, answers, access, maySend = true, regions, expected,
	} of cases) {
		it(name, async () => {
			const requested: string[] = [];
			let isLocal = false;
			const gateways: Gateways = {
				count: () => 1,
				self: 'self',
				list: () => Object.keys(answers),
				isAvoided: host => answers[host] === 'avoided',
				isAnswering: async host => answers[host] !== 'unreachable',
				mayReceive: host => host !== 'far',
				probe: () => undefined,
				findSilentSince: () => undefined,
				hasSilentHost: () => false,
				async runJob(host) {
					requested.push(host);
					const answer = answers[host];
					return new Promise(resolve => {
						if (answer !== 'unreachable' && answer !== 'avoided') {
							resolve(answer);
						}
					});
				},
			};
			const run = createRoutedRunner({
				listed: () => listed,
				async local() {
					isLocal = true;
					return done;
				},
				gateways,
				recordObservation: () => undefined,
				now: () => 0,
			});
			const {answer} = await run({...access === 'read' ? read : job, allowedRegions: regions && new Set(regions)}, () => maySend);
			expect({kind: answer.kind, requested, isLocal}).to.deep.equal({isLocal: false, ...expected});
		});
	}

	// A transaction that began at a slow gateway after another one was chosen stayed open there, and held its connection and a stop of that host.
	it('rolls back a transaction that begins late at a gateway that was skipped', async () => {
		const jobs: string[] = [];
		const begin: Job = {
			...base, kind: 'begin', isReadOnly: false, after: undefined, idleLimit: 1000,
		};
		const run = createRoutedRunner({
			listed: () => listed,
			local: async () => done,
			gateways: {
				count: () => 1,
				self: 'self',
				list: () => ['b1', 'b2'],
				isAvoided: () => false,
				isAnswering: async host => host === 'b2',
				mayReceive: () => true,
				probe: () => undefined,
				findSilentSince: () => undefined,
				hasSilentHost: () => false,
				async runJob(host, _, {kind}) {
					jobs.push(`${host} ${kind}`);
					await sleep(host === 'b1' ? 20 : 0);
					return kind === 'begin' ? {...done, transaction: 5} : done;
				},
			},
			recordObservation: () => undefined,
			now: () => 0,
		});
		await run(begin, () => true);
		await sleep(40);
		expect(jobs).to.deep.equal(['b1 begin', 'b2 begin', 'b1 rollback']);
	});
});
