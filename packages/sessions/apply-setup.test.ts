import {setImmediate as waitForTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {applySetup} from './apply-setup.ts';
import {encodeQuery} from './encode-query.ts';
import type {InstanceAnswer} from './instance-answer.ts';
import type {InstanceRequest} from './instance-request.ts';
import type {PooledConnection} from './pools/pooled-connection.ts';

type Values = ReadonlyArray<readonly [string, string]>;

const read = {access: 'read', shape: 'q1'} as const;

/** Milliseconds within which a query may follow the request to prepare its statement. */
const soon = 50;

describe('applySetup', () => {
	it('does not wait for a statement to be prepared, and removes one that could not be prepared', async () => {
		const answer = new Promise<InstanceAnswer>(resolve => {
			setTimeout(resolve, 2 * soon, {kind: 'lost', reason: ''});
		});
		const pooled = {variables: new Map(), prepared: new Map<string, string>()} as unknown as PooledConnection;
		const startedAt = performance.now();
		expect(await applySetup(pooled, {
			setup: {variables: new Map(), prepared: new Map([['s', read]])}, prepared: 's', isInTransaction: false, send: async () => answer,
		})).to.equal(true);
		expect(performance.now() - startedAt).to.be.below(soon);
		expect(pooled.prepared.size).to.equal(1);
		await answer;
		await waitForTurn();
		expect(pooled.prepared.size).to.equal(0);
	});

	// Guards against a statement that runs another shape, since its name was given to that one when an earlier name was removed.
	it('gives no name to a second statement after the preparing of an earlier one has failed', async () => {
		const names: string[] = [];
		const answers: Array<(answer: InstanceAnswer) => void> = [];
		const pooled = {variables: new Map(), prepared: new Map<string, string>()} as unknown as PooledConnection;
		const prepare = async (shape: string) => applySetup(pooled, {
			setup: {variables: new Map(), prepared: new Map([['s', {access: 'read', shape}]])},
			prepared: 's',
			isInTransaction: false,
			async send(request: InstanceRequest) {
				names.push('name' in request ? request.name : request.kind);
				return new Promise(resolve => {
					answers.push(resolve);
				});
			},
		});
		await prepare('q1');
		await prepare('q2');
		answers[0]?.({
			kind: 'answered', outcome: {kind: 'failed', code: 'busy', reason: ''}, state: 'idle', position: undefined,
		});
		await waitForTurn();
		await prepare('q3');
		expect(names).to.deep.equal(['p1', 'p2', 'p3']);
		expect([...pooled.prepared]).to.deep.equal([['read q2', 'p2'], ['read q3', 'p3']]);
	});

	const cases = [
		{
			name: 'sends nothing when the variables match', held: [['a', '1']], wanted: [['a', '1']], sent: [],
		},
		{
			name: 'sets variables that are missing or differ', held: [['a', '1']], wanted: [['a', '2'], ['b', '1']], sent: ['set a', 'set b'],
		},
		{
			name: 'resets the variables of another session first', held: [['x', '1']], wanted: [['a', '1']], sent: ['reset', 'set a'],
		},
		{
			name: 'never resets inside a transaction', held: [['x', '1']], wanted: [['a', '1']], isInTransaction: true, sent: ['set a'],
		},
		{
			name: 'prepares a statement by its shape, under a name of the connection', held: [], wanted: [], prepared: 's', sent: ['prepare p1'],
		},
		{
			name: 'fails for a name that was not prepared', held: [], wanted: [], prepared: 't', sent: [], isReady: false,
		},
		{
			name: 'fails when the instance does not answer a set request', held: [], wanted: [['a', '1']], isFailing: true, sent: ['set a'], isReady: false,
		},
	] satisfies ReadonlyArray<{name: string; held: Values; wanted: Values; sent: readonly string[]; isInTransaction?: boolean; prepared?: string; isFailing?: boolean; isReady?: boolean}>;
	for (const {
		name, held, wanted, sent, isInTransaction = false, prepared, isFailing = false, isReady = true,
	} of cases as ReadonlyArray<{name: string; held: Values; wanted: Values; sent: readonly string[]; isInTransaction?: boolean; prepared?: string; isFailing?: boolean; isReady?: boolean}>) {
		it(name, async () => {
			const requests: string[] = [];
			const pooled = {variables: new Map(held), prepared: new Map<string, string>()} as unknown as PooledConnection;
			const outcome = await applySetup(pooled, {
				setup: {variables: new Map(wanted), prepared: new Map([['s', read]])},
				prepared,
				isInTransaction,
				async send(request: InstanceRequest) {
					requests.push('name' in request ? `${request.kind} ${request.name}` : request.kind);
					return isFailing
						? {kind: 'lost', reason: ''}
						: {
							kind: 'answered', outcome: {kind: 'done', rows: [], signature: '-'}, state: 'idle', position: undefined,
						};
				},
			});
			expect({requests, outcome}).to.deep.equal({requests: sent, outcome: isReady});
		});
	}

	const done: InstanceAnswer = {
		kind: 'answered', outcome: {kind: 'done', rows: [], signature: '-'}, state: 'idle', position: undefined,
	};

	// Guards against pooled connections that keep the long values of sessions in memory, after the sessions have ended.
	it('remembers long values by less than their length, and sets each anew when it differs', async () => {
		const pooled = {variables: new Map<string, string>(), prepared: new Map<string, string>()} as unknown as PooledConnection;
		const sent: string[] = [];
		const apply = async (values: Values) => applySetup(pooled, {
			setup: {variables: new Map(values), prepared: new Map([['s', {access: 'read', shape: 'q'.repeat(1_000_000)}]])},
			prepared: 's',
			isInTransaction: false,
			async send(request) {
				sent.push('value' in request ? `${request.name.length} ${request.value.at(-1) ?? ''}` : request.kind);
				return done;
			},
		});
		const name = 'n'.repeat(500_000);
		await apply([[name, `${'v'.repeat(1_000_000)}1`]]);
		await apply([[name, `${'v'.repeat(1_000_000)}1`]]);
		await apply([[name, `${'v'.repeat(1_000_000)}2`]]);
		expect(sent).to.deep.equal(['500000 1', 'prepare', '500000 2']);
		expect([...pooled.variables, ...pooled.prepared].flat().join('').length).to.be.below(1000);
		const setup = {variables: new Map<string, string>(), prepared: new Map([['s', {access: 'read', shape: 'q'.repeat(1_000_000)} as const]])};
		expect(encodeQuery({
			id: '1', text: 'EXECUTE s 1a4', access: 'read', execute: {name: 's', parameters: '1a4'},
		}, {pooled, setup, after: undefined})).to.include({kind: 'execute', name: 'p1'});
		await apply([['a', '1']]);
		expect(sent.slice(3)).to.deep.equal(['reset', '1 1', 'prepare']);
	});

	// Guards against prepared statements that pile up on a connection, since sessions close theirs and it does not.
	it('resets a connection that has many prepared statements, and prepares no more of them within a transaction than memory is meant for', async () => {
		const pooled = {variables: new Map<string, string>(), prepared: new Map<string, string>()} as unknown as PooledConnection;
		const kinds: string[] = [];
		const outcomes = new Set<boolean>();
		const prepare = async (number: number, isInTransaction: boolean) => applySetup(pooled, {
			setup: {variables: new Map(), prepared: new Map([['s', {access: 'read', shape: `q${number}`}]])},
			prepared: 's',
			isInTransaction,
			async send(request) {
				kinds.push(request.kind);
				return done;
			},
		});
		for (let number = 0; number < 1000; number++) {
			outcomes.add(await prepare(number, false)); // eslint-disable-line no-await-in-loop -- one after the other
			expect(pooled.prepared.size).to.be.at.most(200);
		}

		expect([...outcomes]).to.deep.equal([true]);
		expect(kinds.filter(kind => kind === 'reset')).to.have.length(4);
		for (let number = 1000; number < 2000; number++) {
			outcomes.add(await prepare(number, true)); // eslint-disable-line no-await-in-loop -- one after the other
		}

		expect(pooled.prepared.size).to.equal(400);
		expect([...outcomes]).to.deep.equal([true, false]);
	});
});
