import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import type {OpenConnectionOutcome} from '../open-connection-outcome.ts';
import {createInstancePool} from './create-instance-pool.ts';

/** Creates a pool and records which connections it opens and how many it closes. */
function createPool(limit: number, {outcome, time = {now: 0}}: {readonly outcome?: OpenConnectionOutcome; readonly time?: {readonly now: number}} = {}) {
	const opened: string[] = [];
	let closed = 0;
	const pool = createInstancePool({
		limit,
		now: () => time.now,
		async open(workspace) {
			opened.push(workspace);
			let isClosed = false;
			return outcome ?? {
				kind: 'opened',
				connection: {
					send: async () => ({kind: 'lost', reason: ''}),
					close() {
						closed += isClosed ? 0 : 1;
						isClosed = true;
					},
					isClosed: () => isClosed,
				},
			};
		},
	});
	const acquire = async (workspace: string, {priority = 1, timeout = 50} = {}) => {
		const acquired = await pool.acquire({workspace, priority, timeout});
		return acquired.kind === 'acquired' ? acquired.connection : undefined;
	};

	return {
		pool, acquire, opened, countClosed: () => closed,
	};
}

describe('createInstancePool', () => {
	it('reuses an idle connection of the same workspace', async () => {
		const {pool, acquire, opened} = createPool(2);
		const first = await acquire('upper');
		pool.release(first!, true);
		expect(await acquire('upper')).to.equal(first);
		expect(opened).to.deep.equal(['upper']);
	});

	it('never shares a connection between workspaces; closes an idle one to make room', async () => {
		const {pool, acquire, opened, countClosed} = createPool(1);
		pool.release((await acquire('upper'))!, true);
		const other = await acquire('lower');
		expect(other?.workspace).to.equal('lower');
		expect({opened, closed: countClosed()}).to.deep.equal({opened: ['upper', 'lower'], closed: 1});
	});

	it('refuses when all connections stay busy until the timeout', async () => {
		const {acquire} = createPool(1);
		await acquire('upper');
		expect(await acquire('upper', {timeout: 10})).to.equal(undefined);
	});

	it('serves the most urgent priority first, and workspaces in turn when one of them floods the pool', async () => {
		const {pool, acquire} = createPool(1);
		const held = await acquire('upper');
		const order: string[] = [];
		const request = async (workspace: string, priority: number, name: string) => {
			const connection = await acquire(workspace, {priority, timeout: 500});
			order.push(name);
			pool.release(connection!, true);
		};

		const requests = [
			request('flood', 2, 'flood1'),
			request('flood', 2, 'flood2'),
			request('flood', 2, 'flood3'),
			request('flood', 2, 'flood4'),
			request('flood', 2, 'flood5'),
			request('small', 2, 'small'),
			request('small', 1, 'urgent'),
		];
		pool.release(held!, true);
		await Promise.all(requests);
		expect(order[0]).to.equal('urgent');
		expect(order.indexOf('small')).to.be.below(order.indexOf('flood5'));
	});

	it('does not reuse a connection that was released as not clean', async () => {
		const {pool, acquire, countClosed} = createPool(1);
		const first = await acquire('upper');
		pool.release(first!, false);
		expect(await acquire('upper')).to.not.equal(first);
		expect(countClosed()).to.equal(1);
	});

	it('distinguishes a full instance from an unreachable one', async () => {
		const full = createPool(1, {outcome: {kind: 'refused', code: 'tooManyConnections'}});
		const unreachable = createPool(1, {outcome: {kind: 'notListening'}});
		const request = {workspace: 'upper', priority: 1, timeout: 10};
		const outcomes = await Promise.all([full.pool.acquire(request), unreachable.pool.acquire(request)]);
		expect(outcomes).to.deep.equal([{kind: 'busy'}, {kind: 'unreachable'}]);
	});

	// Guards against an exception of one attempt that keeps its place in the pool, or a waiter that is never answered.
	it('frees the place of an attempt that failed with an exception', async () => {
		let attempts = 0;
		const pool = createInstancePool({
			limit: 1,
			now: () => 0,
			async open() {
				attempts++;
				await sleep(1);
				throw new RangeError('Port should be >= 0 and < 65536.');
			},
		});
		const request = {workspace: 'upper', priority: 1, timeout: 200};
		const outcomes = await Promise.all([pool.acquire(request), pool.acquire(request), pool.acquire({...request, workspace: 'lower'})]);
		expect(outcomes).to.deep.equal([{kind: 'unreachable'}, {kind: 'unreachable'}, {kind: 'unreachable'}]);
		expect(pool.readLoad()).to.include({busy: 0, waiting: 0});
		expect(attempts).to.equal(3);
	});

	it('refuses at once a request that cannot be served in time, and says when there is room', async () => {
		const time = {now: 0};
		const {pool, acquire} = createPool(1, {time});
		for (let count = 0; count < 12; count++) {
			const held = await acquire('upper'); // eslint-disable-line no-await-in-loop -- measures one after another
			time.now += 100;
			pool.release(held!, true);
		}

		await acquire('upper');
		const request = {workspace: 'upper', priority: 1, timeout: 400};
		const waiting = Array.from({length: 4}, async () => pool.acquire(request));
		const refused = await pool.acquire(request);
		expect(refused).to.deep.include({kind: 'busy', ahead: 4});
		expect(refused).to.have.property('retryAfterMs').that.is.within(200, 400);
		expect(pool.readLoad().waiting).to.equal(waiting.length);
	});

	describe('after the instance refused a connection', () => {
		/** Creates a pool with a limit of 3, in which one connection is held and the second attempt to open one is refused. */
		async function createRefused(outcome: OpenConnectionOutcome, isClosed = () => false) {
			const outcomes: Array<OpenConnectionOutcome | undefined> = [undefined, outcome];
			const pool = createInstancePool({
				limit: 3,
				now: () => performance.now(),
				open: async () => outcomes.shift() ?? {
					kind: 'opened', connection: {send: async () => ({kind: 'lost', reason: ''}), close: () => undefined, isClosed},
				},
			});
			const request = {workspace: 'upper', priority: 1, timeout: 1000};
			await pool.acquire(request);
			return {pool, request, refused: await pool.acquire(request)};
		}

		it('opens one for a request that waits as soon as a further one is allowed, though none is given back', async () => {
			const {pool, request} = await createRefused({kind: 'refused', code: 'tooManyConnections'});
			const startedAt = performance.now();
			const {kind} = await pool.acquire(request);
			expect(kind).to.equal('acquired');
			expect(performance.now() - startedAt).to.be.below(400);
		});

		it('tells that the instance is full, and not unreachable, when it reset the attempt while others stayed open', async () => {
			const {refused, pool} = await createRefused({kind: 'unanswered'});
			expect(refused).to.deep.equal({kind: 'busy'});
			expect(pool.findLimit()).to.equal(1);
		});

		it('keeps its limit when the other connections break right after the one that was reset, as the instance is lost', async () => {
			let isLost = false;
			setTimeout(() => {
				isLost = true;
			}, 2);
			const {refused, pool} = await createRefused({kind: 'unanswered'}, () => isLost);
			expect(refused).to.deep.equal({kind: 'unreachable'});
			expect(pool.findLimit()).to.equal(3);
		});
	});
});
