import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createInstanceRuntime} from './create-instance-runtime.ts';
import type {Gateways} from './gateways.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {Job} from './job.ts';
import type {OpenConnectionOutcome} from './open-connection-outcome.ts';

const listed = {
	id: 'i-1', group: 'pondbook', host: '127.0.0.1', port: 9, zone: 'a', slots: 5, isDeparting: false, role: 'primary',
} as const;
const base = {
	workspace: 'upper', priority: 1, caller: {database: 'pond', keyDigest: ''}, timeout: 300,
};
const setup = {variables: new Map(), prepared: new Map()};
const query = {
	id: 'q-1', text: 'READ a', access: 'read', execute: undefined,
} as const;
const single: Job = {
	...base, kind: 'single', setup, query, after: undefined,
};
const begin: Job = {
	...base, kind: 'begin', setup, isReadOnly: false, after: undefined, idleLimit: 1000,
};

function createAnswer(kind: InstanceRequest['kind'], state: 'idle' | 'open'): InstanceAnswer {
	return {
		kind: 'answered', outcome: {kind: 'done', rows: [], signature: kind}, state, position: undefined,
	};
}

/** Creates the runtime of an instance whose answers and openings a case chooses. */
function createRuntime({answer = request => createAnswer(request.kind, request.kind === 'forward' ? 'idle' : 'open'), opened}: {
	readonly answer?: (request: InstanceRequest) => InstanceAnswer | Promise<InstanceAnswer>;
	readonly opened?: OpenConnectionOutcome;
} = {}) {
	let isClosed = false;
	return createInstanceRuntime(listed, {
		openConnection: async () => opened ?? {
			kind: 'opened',
			connection: {
				send: async request => answer(request),
				close() {
					isClosed = true;
				},
				isClosed: () => isClosed,
			},
		},
		gateways: {count: () => 2} as unknown as Gateways,
		limit: 4,
		now: () => performance.now(),
	});
}

type Runtime = ReturnType<typeof createRuntime>;

const mayAlwaysSend = () => true;

const throwError = () => {
	throw new Error('The check failed.');
};

/** Creates a job of an open transaction. */
function createStep(kind: 'within' | 'commit' | 'rollback', transaction: number): Job {
	switch (kind) {
		case 'within': {
			return {
				...base, kind, transaction, setup, query,
			};
		}

		case 'commit': {
			return {
				...base, kind, transaction, id: 'c-1', text: 'COMMIT',
			};
		}

		case 'rollback': {
			return {kind, transaction};
		}
	}
}

/** Begins a transaction and returns its number. */
async function openTransaction({runLocally}: Runtime): Promise<number> {
	const answer = await runLocally(begin, mayAlwaysSend);
	return (answer.kind === 'answered' ? answer.transaction : undefined) ?? 0;
}

const refused: OpenConnectionOutcome = {kind: 'refused', code: 'tooManyConnections'};
const fail = (code: 'busy' | 'lagging'): InstanceAnswer => ({
	kind: 'answered', outcome: {kind: 'failed', code, reason: ''}, state: 'idle', position: undefined,
});

describe('createLocalRunner', () => {
	// A place that is not given back would be missing for as long as the process runs.
	type Case = {readonly name: string; readonly runtime?: Runtime; readonly job?: Job; readonly maySend?: () => boolean};
	const cases: readonly Case[] = [
		{name: 'a statement that is answered'},
		{name: 'a statement that must not be sent', maySend: () => false},
		{name: 'a statement whose answer is lost', runtime: createRuntime({answer: () => ({kind: 'lost', reason: ''})})},
		{name: 'a statement that a busy instance refuses', runtime: createRuntime({answer: () => fail('busy')})},
		{name: 'a statement without a connection', runtime: createRuntime({opened: refused})},
		{name: 'a statement at an instance that is not there', runtime: createRuntime({opened: {kind: 'notListening'}})},
		{name: 'a statement that ends with an exception', maySend: throwError},
		{name: 'a transaction without a connection', runtime: createRuntime({opened: refused}), job: begin},
		{name: 'a transaction that must not begin', job: begin, maySend: () => false},
		{name: 'a transaction that a replica which lags does not begin', runtime: createRuntime({answer: () => fail('lagging')}), job: begin},
		{name: 'a transaction whose beginning ends with an exception', job: begin, maySend: throwError},
	];
	for (const {name, runtime = createRuntime(), job = single, maySend = mayAlwaysSend} of cases) {
		it(`gives back the place and the connection of ${name}`, async () => {
			await Promise.allSettled([runtime.runLocally(job, maySend)]);
			expect(runtime.pace.readLoad()).to.include({inProgress: 0, waiting: 0, openTransactions: 0});
			expect(runtime.pool.readLoad()).to.include({busy: 0});
		});
	}

	type Step = {readonly kind: 'within' | 'commit' | 'rollback'; readonly maySend?: () => boolean};
	const transactionCases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]}> = [
		{name: 'is committed', steps: [{kind: 'within'}, {kind: 'commit'}]},
		{name: 'must not be committed', steps: [{kind: 'commit', maySend: () => false}]},
		{name: 'is rolled back twice', steps: [{kind: 'rollback'}, {kind: 'rollback'}]},
		{name: 'has a statement that ends with an exception', steps: [{kind: 'within', maySend: throwError}, {kind: 'rollback'}]},
	];
	for (const {name, steps} of transactionCases) {
		it(`gives back the places and the connection of a transaction that ${name}`, async () => {
			const runtime = createRuntime();
			const transaction = await openTransaction(runtime);
			expect(runtime.pace.readLoad()).to.include({inProgress: 0, openTransactions: 1});
			for (const {kind, maySend = mayAlwaysSend} of steps) {
				await Promise.allSettled([runtime.runLocally(createStep(kind, transaction), maySend)]); // eslint-disable-line no-await-in-loop -- one after the other
			}

			expect(runtime.pace.readLoad()).to.include({inProgress: 0, waiting: 0, openTransactions: 0});
			expect(runtime.pool.readLoad()).to.include({busy: 0});
		});
	}

	it('answers a job that finds no place as not sent, and one at an instance that is not there as unreachable', async () => {
		const {runLocally} = createRuntime({opened: {kind: 'notListening'}});
		const answers = await Promise.all([runLocally(single, mayAlwaysSend), runLocally(single, mayAlwaysSend)]);
		expect(answers.map(answer => answer.kind === 'notSent' && answer.isUnreachable)).to.deep.equal([true, true]);
	});

	// The sessions of these transactions are told when they ask next, which may take until they are idle for too long.
	it('lets transactions begin in place of idle ones whose connections were lost', async () => {
		let losses = 0;
		const runtime = createInstanceRuntime(listed, {
			async openConnection() {
				const lossesBefore = losses;
				return {
					kind: 'opened',
					connection: {
						send: async ({kind}) => createAnswer(kind, 'open'), close: () => undefined, isClosed: () => losses > lossesBefore,
					},
				};
			},
			gateways: {count: () => 2} as unknown as Gateways,
			limit: 4,
			now: () => performance.now(),
		});
		await Promise.all([openTransaction(runtime), openTransaction(runtime), openTransaction(runtime)]);
		losses++;
		expect(await openTransaction(runtime)).to.be.above(0);
		expect(runtime.pace.readLoad()).to.include({openTransactions: 1});
		expect(runtime.pool.readLoad()).to.include({busy: 1});
	});

	it('does not send a statement of a transaction whose time is over while it waits for a place', async () => {
		const sent: string[] = [];
		const runtime = createRuntime({
			async answer(request) {
				sent.push(request.kind);
				await sleep(request.kind === 'forward' ? 100 : 0);
				return createAnswer(request.kind, 'open');
			},
		});
		const transaction = await openTransaction(runtime);
		void runtime.runLocally(single, mayAlwaysSend);
		const answer = await runtime.runLocally({
			...base, kind: 'within', transaction, setup, query, timeout: 20,
		}, mayAlwaysSend);
		expect(answer.kind).to.equal('notSent');
		expect(sent).to.deep.equal(['begin', 'forward']);
	});

	const values = {variables: new Map([['a', '1']]), prepared: new Map()};
	const refuseSet = (request: InstanceRequest) => request.kind === 'set' ? fail('busy') : createAnswer(request.kind, request.kind === 'forward' ? 'idle' : 'open');
	const commits = [
		{name: 'sets values that the commit carries before it', sent: ['begin', 'set', 'forward'], kind: 'answered'},
		{
			name: 'sends no commit to an instance that does not take the values', answer: refuseSet, sent: ['begin', 'set'], kind: 'notSent',
		},
		{
			name: 'rolls back if the commit may not be sent any more once the values are set', isRevoked: true, sent: ['begin', 'set', 'rollback'], kind: 'notSent',
		},
	] as const;
	for (const {name, sent, kind, ...options} of commits) {
		// Guards against a COMMIT that runs with earlier values than those acknowledged to its client.
		it(name, async () => {
			const requests: string[] = [];
			const answer = 'answer' in options ? options.answer : (request: InstanceRequest) => createAnswer(request.kind, request.kind === 'forward' ? 'idle' : 'open');
			const runtime = createRuntime({
				answer(request) {
					requests.push(request.kind);
					return answer(request);
				},
			});
			const transaction = await openTransaction(runtime);
			const committed = await runtime.runLocally({
				...base, kind: 'commit', transaction, id: 'c-1', text: 'COMMIT', setup: values,
			}, () => !('isRevoked' in options) || !requests.includes('set'));
			expect({sent: requests, kind: committed.kind}).to.deep.equal({sent, kind});
			expect(runtime.pace.readLoad()).to.include({inProgress: 0, openTransactions: 0});
			expect(runtime.pool.readLoad()).to.include({busy: 0});
		});
	}
});
