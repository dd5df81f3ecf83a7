import {expect} from 'chai';
import {createInstancePool} from './create-instance-pool.ts';
import type {OpenConnectionOutcome} from './open-connection-outcome.ts';

/** Creates a pool whose connections are counted. */
function createPool(limit: number, outcome?: OpenConnectionOutcome) {
	const opened: string[] = [];
	let closed = 0;
	const pool = createInstancePool({
		limit,
		now: () => 0,
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
	it('uses a connection of the workspace again', async () => {
		const {pool, acquire, opened} = createPool(2);
		const first = await acquire('upper');
		pool.release(first!, true);
		expect(await acquire('upper')).to.equal(first);
		expect(opened).to.deep.equal(['upper']);
	});

	it('never lets two workspaces share a connection: an idle one makes place', async () => {
		const {pool, acquire, opened, countClosed} = createPool(1);
		pool.release((await acquire('upper'))!, true);
		const other = await acquire('lower');
		expect(other?.workspace).to.equal('lower');
		expect({opened, closed: countClosed()}).to.deep.equal({opened: ['upper', 'lower'], closed: 1});
	});

	it('refuses when all connections stay in use', async () => {
		const {acquire} = createPool(1);
		await acquire('upper');
		expect(await acquire('upper', {timeout: 10})).to.equal(undefined);
	});

	it('serves the most urgent first, and workspaces by turns, as when one floods', async () => {
		const {pool, acquire} = createPool(1);
		const held = await acquire('upper');
		const order: string[] = [];
		const want = async (workspace: string, priority: number, name: string) => {
			const link = await acquire(workspace, {priority, timeout: 500});
			order.push(name);
			pool.release(link!, true);
		};

		const wishes = [
			want('flood', 2, 'flood1'),
			want('flood', 2, 'flood2'),
			want('flood', 2, 'flood3'),
			want('flood', 2, 'flood4'),
			want('flood', 2, 'flood5'),
			want('small', 2, 'small'),
			want('small', 1, 'urgent'),
		];
		pool.release(held!, true);
		await Promise.all(wishes);
		expect(order[0]).to.equal('urgent');
		expect(order.indexOf('small')).to.be.below(order.indexOf('flood5'));
	});

	it('does not give back a connection that is not clean', async () => {
		const {pool, acquire, countClosed} = createPool(1);
		const first = await acquire('upper');
		pool.release(first!, false);
		expect(await acquire('upper')).to.not.equal(first);
		expect(countClosed()).to.equal(1);
	});

	it('tells a full instance from one that cannot be reached', async () => {
		const full = createPool(1, {kind: 'refused', code: 'tooManyConnections'});
		const gone = createPool(1, {kind: 'absent'});
		const wish = {workspace: 'upper', priority: 1, timeout: 10};
		const outcomes = await Promise.all([full.pool.acquire(wish), gone.pool.acquire(wish)]);
		expect(outcomes).to.deep.equal([{kind: 'busy'}, {kind: 'unreachable'}]);
	});
});
