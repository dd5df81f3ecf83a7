import {expect} from 'chai';
import {createInstanceRuntime} from '../create-instance-runtime.ts';
import type {Gateways} from '../gateways.ts';
import type {Job} from '../job.ts';
import {coldAnswer} from './cold-answer.ts';

const listed = {
	id: 'i-1', group: 'pondbook', host: '127.0.0.1', port: 9, zone: 'a', slots: 5, isDeparting: false, role: 'replica',
} as const;

describe('createInstanceRuntime, when an instance is back without anything in its caches', () => {
	const base = {
		workspace: 'upper', priority: 1, caller: {database: 'ponds', keyDigest: ''}, timeout: 500, setup: {variables: new Map(), prepared: new Map()},
	};
	const query = {
		id: '1', text: 'READ a', access: 'read', execute: undefined,
	} as const;
	const single: Job = {
		...base, kind: 'single', query, after: undefined,
	};
	const begin: Job = {
		...base, kind: 'begin', isReadOnly: false, after: undefined, idleLimit: 1000,
	};

	/** Creates the runtime of an instance that answers everything; `permits` permits are there, and hold for as long as `isValid`. */
	const createCase = ({rate, permits, isValid = true}: {readonly rate: number | undefined; readonly permits: number; readonly isValid?: boolean}) => {
		const sent: string[] = [];
		let left = permits;
		const runtime = createInstanceRuntime({...listed, warmupMs: 1000}, {
			openConnection: async () => ({
				kind: 'opened',
				connection: {
					async send({kind}) {
						sent.push(kind);
						return {
							kind: 'answered', outcome: {kind: 'done', rows: [], signature: '-'}, state: kind === 'begin' ? 'open' : 'idle', position: undefined,
						};
					},
					close: () => undefined,
					isClosed: () => false,
				},
			}),
			gateways: {count: () => 1} as Gateways, // eslint-disable-line @typescript-eslint/consistent-type-assertions -- no other gateway is used
			limit: 1,
			now: () => 0,
			coldInstances: {
				findLimit: () => rate === undefined ? undefined : {rate, span: 1000},
				async takePermit() {
					left--;
					return left < 0 ? undefined : {requestedAt: {steady: 0, wall: 0}};
				},
				isValid: () => isValid,
				onCold: () => undefined,
				onRefused: () => undefined,
			},
		});
		return {runtime, sent, countPermits: () => left};
	};

	const cases = [
		{
			name: 'sends a statement with a permit', plan: {rate: 10, permits: 1}, job: single, expected: {kind: 'answered', sent: ['forward']},
		},
		{
			name: 'sends nothing without a permit', plan: {rate: 10, permits: 0}, job: single, expected: {kind: 'notSent', sent: []},
		},
		{
			name: 'sends nothing with a permit that has expired', plan: {rate: 10, permits: 1, isValid: false}, job: single, expected: {kind: 'notSent', sent: []},
		},
		{
			name: 'begins no transaction without a permit', plan: {rate: 10, permits: 0}, job: begin, expected: {kind: 'notSent', sent: []},
		},
		{
			name: 'needs no permit where the configuration names no limit', plan: {rate: undefined, permits: 0}, job: single, expected: {kind: 'answered', sent: ['forward']},
		},
	];
	for (const {name, plan, job, expected} of cases) {
		it(name, async () => {
			const {runtime, sent} = createCase(plan);
			const {kind} = await runtime.runLocally(job, () => true);
			expect({kind, sent}).to.deep.equal(expected);
		});
	}

	it('keeps a transaction without a permit until it is rolled back, and rolls back one that cannot commit', async () => {
		const {runtime, sent} = createCase({rate: 10, permits: 1});
		const begun = await runtime.runLocally(begin, () => true);
		const transaction = begun.kind === 'answered' ? begun.transaction ?? 0 : 0;
		const within = await runtime.runLocally({
			...base, timeout: 10, kind: 'within', transaction, query,
		}, () => true);
		expect(within).to.deep.equal(coldAnswer);
		const commit = await runtime.runLocally({
			...base, timeout: 10, kind: 'commit', transaction, id: '2', text: 'COMMIT',
		}, () => true);
		expect(commit).to.deep.equal(coldAnswer);
		expect(sent).to.deep.equal(['begin', 'rollback']);
	});

	// Guards against permits that are lost at a job which the lease, the regions or the evacuation of the zone refuse.
	for (const job of [single, begin]) {
		it(`takes no permit for a job that may not be sent (${job.kind})`, async () => {
			const {runtime, sent, countPermits} = createCase({rate: 10, permits: 1});
			const {kind} = await runtime.runLocally(job, () => false);
			expect({kind, sent, permits: countPermits()}).to.deep.equal({kind: 'notSent', sent: [], permits: 1});
		});
	}

	it('takes no permit for a commit that may not be sent, and rolls the transaction back', async () => {
		const {runtime, sent, countPermits} = createCase({rate: 10, permits: 2});
		const begun = await runtime.runLocally(begin, () => true);
		const transaction = begun.kind === 'answered' ? begun.transaction ?? 0 : 0;
		const {kind} = await runtime.runLocally({
			...base, kind: 'commit', transaction, id: '2', text: 'COMMIT',
		}, () => false);
		expect({kind, sent, permits: countPermits()}).to.deep.equal({kind: 'notSent', sent: ['begin', 'rollback'], permits: 1});
	});
});
