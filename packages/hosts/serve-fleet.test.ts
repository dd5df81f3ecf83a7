import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
	FleetPeer, Job, JobAnswer, SessionLog, StoreTable,
} from '@sapphirefall/sessions';
import {expect} from 'chai';
import fc from 'fast-check';
import type {CallServerLimits} from './call-server-limits.ts';
import {createFleetPeer} from './create-fleet-peer.ts';
import {serveFleet} from './serve-fleet.ts';

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
const done: JobAnswer = {
	kind: 'answered', outcome: {kind: 'done', rows: [], signature: '7'}, state: 'idle', position: undefined, transaction: undefined, spans: undefined,
};

/** Text of a statement whose answer is longer than a message may be. */
const longAnswerText = 'READ all';
const longAnswer: JobAnswer = {
	...done, outcome: {kind: 'done', rows: Array.from({length: 10}, () => ''.padEnd(1024 * 1024)), signature: '7'},
};

const createJob = (text: string): Job => ({
	...job, query: {
		id: '1', text, access: 'read', execute: undefined,
	},
});

/** Names that a plain object has, or treats in a way of its own. */
const oddNames = ['__proto__', 'constructor', 'toString', 'hasOwnProperty', '__defineGetter__'];

/** Fixed seed, so that each run checks the same cases. */
const parameters = {seed: 35_006, numRuns: 500};

/** The comparison of maps needs values that have a prototype. */
const plain = {noNullPrototype: true};

const name = fc.oneof(fc.string(), fc.constantFrom(...oddNames));
const table = fc.constantFrom<StoreTable>('configuration', 'fleet', 'instances');
const amount = fc.double({min: 0, max: 1e9, noNaN: true});
const count = fc.nat();
const number = fc.maxSafeNat();
const mark = fc.record({newest: number, count});
const position = fc.record({term: count, position: fc.bigInt({min: 0n, max: (2n ** 64n) - 1n})});
const rows = fc.array(fc.record({key: name, value: fc.string(), version: number}), {maxLength: 3});
const tables = fc.array(fc.record({
	table, version: number, mark, age: amount, reader: name, isWhole: fc.boolean(), rows,
}), {maxLength: 3});
const positions = fc.array(fc.record({
	group: name, epoch: number, position, age: amount,
}), {maxLength: 3});
const fenceAnswer = fc.record({
	isFenced: fc.boolean(),
	uptimeMs: amount,
	newest: fc.record({
		group: name, epoch: number, position, age: amount,
	}, plain),
	commit: fc.record({epoch: number, after: position}, plain),
}, {requiredKeys: ['isFenced'], ...plain});
const requested = fc.uniqueArray(fc.tuple(table, fc.record({mark: fc.option(mark, {nil: undefined}), age: amount}, plain)), {selector: ([key]) => key})
	.map(entries => new Map(entries));
const claim = fc.record({
	workspace: name, demand: amount, held: amount, heldFor: amount, needed: count,
});
const claims = fc.record({
	host: name, incarnation: number, partition: count, epoch: number, claims: fc.array(claim, {maxLength: 3}),
});
const grants = fc.array(fc.tuple(name, fc.record({rate: amount, units: count}, plain)), {maxLength: 3}).map(entries => new Map(entries));

/** Calls of another host, with what that host returns. */
const calls = fc.oneof(
	fc.record({
		method: fc.constant('readTables' as const), content: fc.tuple(requested, fc.nat(100)), returned: fc.record({tables, positions, waitedMs: amount}),
	}),
	fc.record({
		method: fc.constant('claimRates' as const),
		content: fc.tuple(claims),
		returned: fc.oneof(fc.constant('notAllocator'), fc.record({grants, spanMs: amount, isSettled: fc.boolean()})),
	}),
	fc.record({method: fc.constant('fenceGroup' as const), content: fc.tuple(name, number), returned: fenceAnswer}),
	fc.record({method: fc.constant('confirmSilence' as const), content: fc.tuple(name, name), returned: fc.boolean()}),
);

/** Milliseconds that a job takes. */
const jobMs = 100;

const answerNothing = async () => undefined;

/** Starts a host that runs jobs, or answers calls as `overrides` says, and a client that calls it. */
async function createCase(overrides: Partial<FleetPeer> = {}, limits?: CallServerLimits) {
	const warnings: string[] = [];
	const log: SessionLog = {
		debug: () => undefined, info: () => undefined, warn(_, message) {
			warnings.push(message);
		},
	};
	let started = 0;
	const own: FleetPeer = {
		readTables: answerNothing,
		claimRates: answerNothing,
		fenceGroup: answerNothing,
		confirmSilence: answerNothing,
		async runJob(_, received) {
			started++;
			await sleep(jobMs);
			return 'query' in received && received.query.text === longAnswerText ? longAnswer : done;
		},
		ping: async () => true,
		...overrides,
	};
	const {server, stop} = serveFleet({host: '127.0.0.1', port: 0}, {own, log, ...limits && {limits}});
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const createPeer = () => createFleetPeer({host: '127.0.0.1', port}, {
		timeoutMs: 500, idleTimeoutMs: 1000, now: () => performance.now(), log,
	});
	return {
		createPeer, peer: createPeer(), stop, warnings, countStarted: () => started,
	};
}

describe('serveFleet', () => {
	// A write that a stopping host had not read ended with an unknown outcome, though it never ran.
	it('answers the jobs that it has read when it stops; later ones are not served, and do not run', async () => {
		const {
			peer, stop, warnings, countStarted,
		} = await createCase();
		await peer.ping();
		const read = peer.runJob({group: 'g', id: 'i'}, job);
		await sleep(jobMs / 2);
		const stopped = stop(600);
		const unread = peer.runJob({group: 'g', id: 'i'}, job);
		expect(await read).to.deep.equal(done);
		expect(await unread).to.equal('notServed');
		await stopped;
		expect(countStarted()).to.equal(1);
		expect(warnings).to.deep.equal([]);
	});

	// A write to a host without a place for another connection ended with an unknown outcome, though it never ran.
	it('says that it does not serve the job of a host whose connection it refuses', async () => {
		const {
			createPeer, peer, stop, warnings, countStarted,
		} = await createCase({}, {
			connections: 1, frameBytes: 1e9, onBytes: () => undefined, onClosed: () => undefined, onAcceptError: () => undefined,
		});
		const running = peer.runJob({group: 'g', id: 'i'}, job);
		await sleep(jobMs / 2);
		const refused = [createPeer(), createPeer()].map(async other => other.runJob({group: 'g', id: 'i'}, job));
		expect(await Promise.all(refused)).to.deep.equal(['notServed', 'notServed']);
		expect(await running).to.deep.equal(done);
		expect(countStarted()).to.equal(1);
		expect(warnings).to.deep.equal([]);
		await stop(200);
	});

	// Guards against a job that runs though the host has said that it does not serve it.
	it('says that it does not serve the job of a host whose connection gives way to another one', async () => {
		const {createPeer, stop, countStarted} = await createCase({}, {
			connections: 1, frameBytes: 1e9, onBytes: () => undefined, onClosed: () => undefined, onAcceptError: () => undefined,
		});
		const answers = await Promise.all([createPeer(), createPeer(), createPeer()].map(async other => other.runJob({group: 'g', id: 'i'}, job)));
		expect(answers.filter(answer => answer === 'notServed')).to.have.length(2);
		expect(countStarted()).to.equal(1);
		await stop(200);
	});

	// Guards against idle connections, among them those of hosts that are gone, that keep other hosts out.
	it('gives the place of a connection without calls in progress to another host, and loses no job', async () => {
		const {createPeer, peer, stop} = await createCase({}, {
			connections: 1, frameBytes: 1e9, onBytes: () => undefined, onClosed: () => undefined, onAcceptError: () => undefined,
		});
		const other = createPeer();
		const answers: unknown[] = [];
		for (const next of [peer, other, peer]) {
			answers.push(await next.runJob({group: 'g', id: 'i'}, job)); // eslint-disable-line no-await-in-loop -- one after the other
			await sleep(jobMs); // eslint-disable-line no-await-in-loop -- until the other host has closed its connection
		}

		expect(answers).to.deep.equal([done, done, done]);
		await stop(200);
	});

	const tooLong = [
		{name: 'an answer', text: longAnswerText, expected: undefined},
		{name: 'a job', text: ''.padEnd(10 * 1024 * 1024), expected: {kind: 'notSent', reason: 'the job is too long for a message between hosts'}},
	];
	for (const {name, text, expected} of tooLong) {
		// The connection of the two hosts was closed, so that all other calls on it were lost too.
		it(`loses nothing else when ${name} is longer than a message may be`, async () => {
			const {peer, stop} = await createCase();
			await peer.ping();
			const other = peer.runJob({group: 'g', id: 'i'}, job);
			expect(await peer.runJob({group: 'g', id: 'i'}, createJob(text))).to.deep.equal(expected);
			const later = peer.runJob({group: 'g', id: 'i'}, job);
			expect(await other).to.deep.equal(done);
			expect(await later).to.deep.equal(done);
			await stop(200);
		});
	}

	for (const name of oddNames) {
		// Guards against a session variable that is lost on the way to a gateway on another host, so that a statement runs without it.
		it(`runs a job with a variable named "${name}" on the instance that the job is for`, async () => {
			const received: unknown[] = [];
			const {peer, stop} = await createCase({
				async runJob(...call) {
					received.push(call);
					return done;
				},
			});
			const sent: Job = {...job, setup: {variables: new Map([[name, 'value']]), prepared: new Map()}};
			expect(await peer.runJob({group: name, id: name}, sent)).to.deep.equal(done);
			expect(received).to.deep.equal([[{group: name, id: name}, sent]]);
			await stop(200);
		});
	}

	it('passes any call and its answer on unchanged', async () => {
		const received: unknown[] = [];
		let answer: unknown;
		const call = async (...content: unknown[]) => {
			received.push(content);
			return answer as never;
		};

		const {peer, stop} = await createCase({
			readTables: call, claimRates: call, fenceGroup: call, confirmSilence: call,
		});
		const property = fc.asyncProperty(calls, async ({method, content, returned}) => {
			received.length = 0;
			answer = returned;
			const run = peer[method] as (...parameters: readonly unknown[]) => Promise<unknown>;
			expect(await run(...content)).to.deep.equal(returned);
			expect(received).to.deep.equal([content]);
		});
		try {
			await fc.assert(property, parameters);
		} finally {
			await stop(200);
		}
	});
});
