import {expect} from 'chai';
import type {Access} from './access.ts';
import {createByteBudget} from './create-byte-budget.ts';
import {createGateway} from './create-gateway.ts';
import type {InstanceRuntime} from './instance-runtime.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import type {Route} from './route.ts';

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
const within: Job = {
	...base, kind: 'within', transaction: 5, query,
};
const done: JobAnswer = {
	kind: 'answered', outcome: {kind: 'done', rows: [], signature: '7'}, state: 'idle', position: undefined,
};
const route: Route = {
	database: 'ponds', group: 'g', freshness: 'latest', maxStaleness: 0, statementTimeout: 1000, targetLatency: 200, priority: 1, isPublic: false,
};
const regions = {byZone: new Map([['a', 'north'], ['c', 'east']])};
const allowed: Access = {
	kind: 'allowed', workspace: 'upper', version: 1, route,
};
const denied: Access = {kind: 'denied', code: 'badKey', reason: ''};

/** Creates a gateway to an instance that runs every job that may still be sent. `now` is a clock in milliseconds. */
function createCase(access: Access | undefined | (() => Access | undefined), {now = () => 0, statementBytes = 1_000_000}: {readonly now?: () => number; readonly statementBytes?: number} = {}) {
	const instance = {
		listed: () => ({zone: 'a'}),
		runLocally: async (job: Job, maySend: () => boolean): Promise<JobAnswer> =>
			maySend() ? {...done, ...job.kind === 'begin' && {transaction: 5}} : {kind: 'notSent', reason: ''},
	} as unknown as InstanceRuntime;
	return createGateway({
		statementBudget: createByteBudget(statementBytes),
		findInstance: (_, id) => id === 'known' ? instance : undefined,
		findAccess: () => (typeof access === 'function' ? access() : access) ?? allowed,
		regions,
		now,
	});
}

describe('createGateway', () => {
	it('runs jobs for known instances only', async () => {
		const gateway = createCase(undefined);
		expect(await gateway.runJob({group: 'g', id: 'known'}, single)).to.deep.equal(done);
		expect(await gateway.runJob({group: 'g', id: 'other'}, single)).to.equal('notServed');
	});

	// Guards against large jobs of other hosts that use up the memory of the process.
	it('does not send a large statement that it has no memory for, and sends a small one', async () => {
		const gateway = createCase(undefined, {statementBytes: 50_000});
		const large: Job = {...single, query: {...query, text: `WRITE a ${'x'.repeat(30_000)}`}};
		const [first, second, small] = await Promise.all([large, large, single].map(async job => gateway.runJob({group: 'g', id: 'known'}, job)));
		expect({first, small}).to.deep.equal({first: done, small: done});
		expect(second).to.include({kind: 'notSent'});
		expect(await gateway.runJob({group: 'g', id: 'known'}, large)).to.deep.equal(done);
	});

	it('sends nothing for a key that was revoked while the job was in transit', async () => {
		expect(await createCase(denied).runJob({group: 'g', id: 'known'}, single)).to.include({kind: 'notSent'});
	});

	// Guards against a statement that runs in the name of a workspace whose key another one holds by now.
	it('sends nothing for a workspace that does not hold the key any more', async () => {
		const gateway = createCase({
			kind: 'allowed', workspace: 'lower', version: 2, route,
		});
		expect(await gateway.runJob({group: 'g', id: 'known'}, single)).to.include({kind: 'notSent'});
		expect(await gateway.runJob({group: 'g', id: 'known'}, begin)).to.include({kind: 'notSent'});
	});

	// A job that was on its way while the configuration changed, or whose host knows an older one, reached another region.
	for (const {name, allowed, expected} of [
		{name: 'sends a job to an instance of an allowed region', allowed: ['north', 'east'], expected: 'answered'},
		{name: 'sends nothing to an instance outside of the allowed regions, whatever the other host knows', allowed: ['east'], expected: 'notSent'},
		{name: 'sends nothing where no region is allowed', allowed: [], expected: 'notSent'},
	]) {
		it(name, async () => {
			const gateway = createCase({
				kind: 'allowed', workspace: 'upper', version: 2, route, allowedRegions: new Set(allowed),
			});
			expect(await gateway.runJob({group: 'g', id: 'known'}, single)).to.include({kind: expected});
			expect(await gateway.runJob({group: 'g', id: 'known'}, begin)).to.include({kind: expected});
		});
	}

	it('does not set up a connection for a job that it may not send', async () => {
		const started: string[] = [];
		const instance = {
			listed: () => ({zone: 'a'}),
			async runLocally({kind}: Job) {
				started.push(kind);
				return done;
			},
		} as unknown as InstanceRuntime;
		const gateway = createGateway({
			findInstance: () => instance, findAccess: () => ({
				kind: 'allowed', workspace: 'upper', version: 2, route, allowedRegions: new Set(['east']),
			}), regions, statementBudget: createByteBudget(1_000_000), now: () => 0,
		});
		for (const job of [single, begin, within]) {
			expect(await gateway.runJob({group: 'g', id: 'known'}, job)).to.include({kind: 'notSent'}); // eslint-disable-line no-await-in-loop -- jobs run one after another
		}

		expect(started).to.deep.equal([]);
	});

	it('sends a job for a public route, whichever workspace it knows the key of', async () => {
		const gateway = createCase({
			kind: 'allowed', workspace: 'public', version: 2, route: {...route, isPublic: true},
		});
		expect(await gateway.runJob({group: 'g', id: 'known'}, single)).to.include({kind: 'answered'});
	});

	it('lets open transactions finish after it is closed, but accepts no new work', async () => {
		const gateway = createCase(undefined);
		await gateway.runJob({group: 'g', id: 'known'}, begin);
		gateway.close();
		expect(await gateway.runJob({group: 'g', id: 'known'}, single)).to.equal('stopping');
		expect(await gateway.runJob({group: 'g', id: 'known'}, within)).to.include({kind: 'answered'});
		expect(gateway.countActive()).to.equal(1);
		await gateway.runJob({group: 'g', id: 'known'}, {kind: 'rollback', transaction: 5});
		expect(gateway.countActive()).to.equal(0);
	});

	// A stopping host waited for a job that had failed until its time was over.
	it('does not count a job that failed', async () => {
		const instance = {
			listed: () => ({zone: 'a'}),
			async runLocally() {
				throw new Error('the connection failed');
			},
		} as unknown as InstanceRuntime;
		const gateway = createGateway({
			findInstance: () => instance, findAccess: () => allowed, regions, statementBudget: createByteBudget(1_000_000), now: () => 0,
		});
		const [{status}] = await Promise.allSettled([gateway.runJob({group: 'g', id: 'known'}, single)]);
		expect(status).to.equal('rejected');
		expect(gateway.countActive()).to.equal(0);
	});

	// A stopping host waited its whole grace period for a transaction that its runtime had rolled back long before.
	it('counts a transaction until its runtime rolls it back because nothing was sent for too long', async () => {
		let at = 0;
		const gateway = createCase(undefined, {now: () => at});
		await gateway.runJob({group: 'g', id: 'known'}, begin);
		at = 2000;
		await gateway.runJob({group: 'g', id: 'known'}, within);
		at = 4500;
		expect(gateway.countActive()).to.equal(1);
		at = 4501;
		expect(gateway.countActive()).to.equal(0);
	});

	// A stopping host did not wait for a transaction after the caller's key was unknown for a moment.
	it('counts a transaction whose statement was not sent until it is rolled back', async () => {
		const denials: Access[] = [];
		const gateway = createCase(() => denials[0]);
		await gateway.runJob({group: 'g', id: 'known'}, begin);
		denials.push(denied);
		expect(await gateway.runJob({group: 'g', id: 'known'}, within)).to.include({kind: 'notSent'});
		expect(gateway.countActive()).to.equal(1);
		await gateway.runJob({group: 'g', id: 'known'}, {kind: 'rollback', transaction: 5});
		expect(gateway.countActive()).to.equal(0);
	});

	describe('after transactions are ended', () => {
		/** Creates a gateway with an open transaction, whose jobs at the instance wait until `finish` is called. */
		const createOpenCase = async () => {
			const jobs: string[] = [];
			let finish = () => undefined as void;
			const instance = {
				listed: () => ({zone: 'a'}),
				async runLocally(job: Job): Promise<JobAnswer> {
					jobs.push(job.kind);
					if (job.kind === 'within') {
						await new Promise<void>(resolve => {
							finish = resolve;
						});
					}

					return {...done, ...job.kind === 'begin' && {transaction: 5}};
				},
			} as unknown as InstanceRuntime;
			const gateway = createGateway({
				findInstance: () => instance, findAccess: () => allowed, regions, statementBudget: createByteBudget(1_000_000), now: () => 0,
			});
			await gateway.runJob({group: 'g', id: 'known'}, begin);
			return {
				gateway, jobs, finish() {
					finish();
				},
			};
		};

		const commit: Job = {
			...base, kind: 'commit', transaction: 5, id: '2', text: 'COMMIT',
		};
		const ended = {kind: 'notSent', reason: 'the gateway is stopping'};

		// A statement or COMMIT that came late to a stopping gateway was cut, and had an unknown outcome.
		it('rolls back, sends nothing more and says so', async () => {
			const {gateway, jobs} = await createOpenCase();
			gateway.close();
			gateway.endTransactions();
			expect(await gateway.runJob({group: 'g', id: 'known'}, within)).to.deep.equal(ended);
			expect(await gateway.runJob({group: 'g', id: 'known'}, commit)).to.deep.equal(ended);
			expect(jobs).to.deep.equal(['begin', 'rollback']);
			expect(gateway.countActive()).to.equal(0);
		});

		it('lets a running statement finish, and then rolls back', async () => {
			const {gateway, jobs, finish} = await createOpenCase();
			const running = gateway.runJob({group: 'g', id: 'known'}, within);
			gateway.close();
			gateway.endTransactions();
			expect(jobs).to.deep.equal(['begin', 'within']);
			finish();
			expect(await running).to.deep.equal(done);
			expect(await gateway.runJob({group: 'g', id: 'known'}, commit)).to.deep.equal(ended);
			expect(jobs).to.deep.equal(['begin', 'within', 'rollback']);
			expect(gateway.countActive()).to.equal(0);
		});

		it('does not send what still waits for its place, except single statements', async () => {
			let maySendLater = () => true;
			const instance = {
				listed: () => ({zone: 'a'}),
				async runLocally(_: Job, maySend: () => boolean): Promise<JobAnswer> {
					maySendLater = maySend;
					return done;
				},
			} as unknown as InstanceRuntime;
			const gateway = createGateway({
				findInstance: () => instance, findAccess: () => allowed, regions, statementBudget: createByteBudget(1_000_000), now: () => 0,
			});
			const later: Array<() => boolean> = [];
			for (const job of [single, begin, within]) {
				await gateway.runJob({group: 'g', id: 'known'}, job); // eslint-disable-line no-await-in-loop -- each job is recorded in turn
				later.push(maySendLater);
			}

			expect(later.map(maySend => maySend())).to.deep.equal([true, true, true]);
			gateway.endTransactions();
			expect(later.map(maySend => maySend())).to.deep.equal([true, false, false]);
		});
	});
});
