import {
	create, fromBinary, toBinary, type MessageInitShape,
} from '@bufbuild/protobuf';
import {BinaryWriter, WireType} from '@bufbuild/protobuf/wire';
import type {Job, JobAnswer} from '@sapphirefall/sessions';
import {JobKind, RunJobRequestSchema, RunJobResponseSchema} from '@sapphirefall/wire';
import {expect} from 'chai';
import fc from 'fast-check';
import {decodeJobAnswer} from './decode-job-answer.ts';
import {decodeJob} from './decode-job.ts';
import {encodeJobAnswer} from './encode-job-answer.ts';
import {encodeJob} from './encode-job.ts';

/** Names that a plain object has, or treats in a way of its own. */
const oddNames = ['__proto__', 'constructor', 'toString', 'hasOwnProperty', '__defineGetter__', 'then', 'toJSON', '0', '', '$typeName'];

/** Fixed seed, so that each run checks the same cases. */
const parameters = {seed: 35_005, numRuns: 500};

const name = fc.oneof(fc.string(), fc.constantFrom(...oddNames));
const point = fc.record({term: fc.nat(1000), position: fc.bigInt({min: 0n, max: 1_000_000n})});
const access = fc.constantFrom<'read' | 'write'>('read', 'write');
const base = {
	workspace: name,
	priority: fc.nat(9),
	caller: fc.record({database: name, keyDigest: fc.string()}),
	timeout: fc.double({min: 1, max: 60_000, noNaN: true}),
};
const variables = fc.array(fc.tuple(name, fc.string()), {maxLength: 5}).map(entries => new Map(entries));
const plainQuery = fc.record({
	id: fc.string(), text: fc.string(), access, execute: fc.constant(undefined),
});
const plainSetup = fc.record({variables, prepared: fc.constant(new Map())});
const plainParts = fc.record({setup: plainSetup, query: plainQuery});
const executeParts = fc.record({
	variables, name, access, shape: fc.string(), parameters: fc.string(), query: plainQuery,
}).map(parts => ({
	setup: {variables: parts.variables, prepared: new Map([[parts.name, {access: parts.access, shape: parts.shape}]])},
	query: {...parts.query, execute: {name: parts.name, parameters: parts.parameters}},
}));
const queryParts = fc.oneof(plainParts, executeParts);
const after = fc.option(point, {nil: undefined});
const transaction = fc.nat(2 ** 30);
const targetLatency = fc.option(fc.float({min: -60_000, max: 60_000, noNaN: true}), {nil: undefined});
const untargetedJob: fc.Arbitrary<Job> = fc.oneof(
	fc.tuple(fc.record({...base, kind: fc.constant('single' as const), after}), queryParts).map(([single, parts]) => ({...single, ...parts})),
	fc.record({
		...base, kind: fc.constant('begin' as const), setup: plainSetup, isReadOnly: fc.boolean(), after, idleLimit: fc.nat(60_000),
	}),
	fc.tuple(fc.record({...base, kind: fc.constant('within' as const), transaction}), queryParts).map(([within, parts]) => ({...within, ...parts})),
	fc.record({
		...base, kind: fc.constant('commit' as const), transaction, id: fc.string(), text: fc.string(),
	}),
	fc.record({
		...base, kind: fc.constant('commit' as const), transaction, id: fc.string(), text: fc.string(), setup: plainSetup.filter(({variables: {size}}) => size > 0),
	}),
	fc.record({kind: fc.constant('rollback' as const), transaction}),
	fc.record({kind: fc.constant('position' as const), workspace: name}),
);
/** A job of this host, or of one of an earlier version, whose jobs have no target. */
const job: fc.Arbitrary<Job> = fc.tuple(untargetedJob, targetLatency)
	.map(([untargeted, target]) => 'caller' in untargeted && target !== undefined ? {...untargeted, targetLatency: target} : untargeted);
const answer: fc.Arbitrary<JobAnswer | 'notServed' | 'stopping'> = fc.oneof(
	fc.constantFrom('notServed' as const, 'stopping' as const),
	fc.record({kind: fc.constant('lost' as const), reason: fc.string()}),
	fc.record({kind: fc.constant('notSent' as const), reason: fc.string(), isUnreachable: fc.boolean()}),
	fc.record({
		kind: fc.constant('notSent' as const), reason: fc.string(), isUnreachable: fc.boolean(), retryAfterMs: fc.float({min: 0, max: 60_000, noNaN: true}),
	}),
	fc.record({
		kind: fc.constant('answered' as const),
		outcome: fc.oneof(
			fc.record({kind: fc.constant('done' as const), rows: fc.array(fc.string()), signature: fc.string()}),
			fc.record({kind: fc.constant('failed' as const), code: fc.constantFrom('lagging' as const, 'failed' as const), reason: fc.string()}),
		),
		state: fc.constantFrom('idle' as const, 'open' as const, 'failed' as const),
		position: after,
		transaction: fc.option(fc.integer({min: 1, max: 2 ** 40}), {nil: undefined}),
		spans: fc.option(fc.record({
			way: fc.constant(0), queue: fc.nat(5000), open: fc.nat(5000), setup: fc.nat(5000), instance: fc.nat(5000),
		}), {nil: undefined}),
	}),
);

/** Encodes a job to bytes and decodes it again. */
function roundTripJob(sent: Job): Job {
	const message = create(RunJobRequestSchema, encodeJob({group: 'g', id: 'i'}, sent));
	return decodeJob(fromBinary(RunJobRequestSchema, toBinary(RunJobRequestSchema, message)));
}

/** Creates a job that begins a transaction with a variable of this name. */
function createBegin(variable: string): Extract<Job, {readonly kind: 'begin'}> {
	return {
		kind: 'begin',
		workspace: variable,
		priority: 1,
		caller: {database: variable, keyDigest: ''},
		timeout: 5,
		setup: {variables: new Map([['a', '1'], [variable, '2'], ['b', '3']]), prepared: new Map()},
		isReadOnly: false,
		after: undefined,
		idleLimit: 5,
	};
}

describe('encodeJob and decodeJob', () => {
	it('restore any job', () => {
		fc.assert(fc.property(job, sent => {
			expect(roundTripJob(sent)).to.deep.equal(sent);
		}), parameters);
	});

	for (const odd of oddNames) {
		// A variable named __proto__ was acknowledged to the client, and lost on the way to a gateway on another host.
		it(`restore a job with a variable and a prepared statement named "${odd}"`, () => {
			const begin = createBegin(odd);
			expect(roundTripJob(begin)).to.deep.equal(begin);
			const {workspace, priority, caller, timeout} = begin;
			const within: Extract<Job, {readonly kind: 'within'}> = {
				kind: 'within',
				workspace,
				priority,
				caller,
				timeout,
				transaction: 3,
				setup: {variables: new Map([[odd, '2']]), prepared: new Map([[odd, {access: 'write', shape: 'q2c'}]])},
				query: {
					id: '1', text: 'EXECUTE a b', access: 'write', execute: {name: odd, parameters: 'a b'},
				},
			};
			expect(roundTripJob(within)).to.deep.equal(within);
		});

		// Guards against a session variable that is lost between hosts of two versions during a rolling restart.
		it(`read a variable named "${odd}" from a host that encodes variables as a map`, () => {
			const writer = new BinaryWriter().tag(1, WireType.Varint).int32(JobKind.BEGIN);
			writer.tag(9, WireType.LengthDelimited).fork();
			writer.tag(1, WireType.LengthDelimited).string(odd).tag(2, WireType.LengthDelimited).string('2');
			writer.join(); // eslint-disable-line unicorn/require-array-join-separator -- ends the nested message
			expect(decodeJob(fromBinary(RunJobRequestSchema, writer.finish()))).to.deep.include({
				setup: {variables: new Map([[odd, '2']]), prepared: new Map()},
			});
		});

		// An earlier version knows no instance with an empty name, and refuses the job.
		it(`name the instance for earlier versions only if they keep a variable named "${odd}"`, () => {
			const expected: MessageInitShape<typeof RunJobRequestSchema> = odd === '__proto__' ? {instance: '', exactInstance: {instance: 'i'}} : {instance: 'i'};
			const {instance, exactInstance} = create(RunJobRequestSchema, encodeJob({group: 'g', id: 'i'}, createBegin(odd)));
			expect({instance, ...exactInstance && {exactInstance: {instance: exactInstance.instance}}}).to.deep.equal(expected);
		});
	}

	// A gateway of an earlier version would run the COMMIT without the values, and knows no instance with an empty name.
	it('name the instance for earlier versions only if a commit carries no values', () => {
		const {workspace, priority, caller, timeout, setup} = createBegin('c');
		const commit: Job = {
			kind: 'commit', workspace, priority, caller, timeout, transaction: 3, id: '1', text: 'COMMIT',
		};
		const names = [commit, {...commit, setup}].map(sent => {
			const {instance, commitInstance} = create(RunJobRequestSchema, encodeJob({group: 'g', id: 'i'}, sent));
			return [instance, commitInstance?.instance];
		});
		expect(names).to.deep.equal([['i', undefined], ['', 'i']]);
	});

	it('transfer only the prepared statement that the job executes, under its name in the session', () => {
		const prepared = new Map([['s1', {access: 'write' as const, shape: 'q2c'}], ['s2', {access: 'read' as const, shape: 'q3'}]]);
		const sent = roundTripJob({
			kind: 'within',
			transaction: 3,
			workspace: 'upper',
			priority: 1,
			caller: {database: 'd', keyDigest: 'k'},
			timeout: 5,
			setup: {variables: new Map(), prepared},
			query: {
				id: '1', text: 'EXECUTE s1 a b', access: 'write', execute: {name: 's1', parameters: 'a b'},
			},
		});
		expect(sent).to.deep.include({
			query: {
				id: '1', text: 'EXECUTE s1 a b', access: 'write', execute: {name: 's1', parameters: 'a b'},
			},
			setup: {variables: new Map(), prepared: new Map([['s1', {access: 'write', shape: 'q2c'}]])},
		});
	});

	it('restore any answer', () => {
		fc.assert(fc.property(answer, sent => {
			const message = create(RunJobResponseSchema, encodeJobAnswer(sent));
			expect(decodeJobAnswer(fromBinary(RunJobResponseSchema, toBinary(RunJobResponseSchema, message)))).to.deep.equal(sent);
		}), parameters);
	});
});
