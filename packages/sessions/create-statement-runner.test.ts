import {expect} from 'chai';
import type {Access} from './access.ts';
import {createStatementRunner} from './create-statement-runner.ts';
import {createStatementTrace} from './create-statement-trace.ts';
import type {JobAnswer} from './job-answer.ts';
import type {Job} from './job.ts';
import type {PrimaryView} from './primary-view.ts';
import type {Route} from './route.ts';
import type {SessionContext} from './session-context.ts';
import type {Statement} from './statement.ts';

const statements = {
	begin: {kind: 'begin', isReadOnly: false},
	read: {kind: 'read'},
	write: {kind: 'write'},
	commit: {kind: 'commit'},
} as const satisfies Record<string, Statement>;

type Kind = keyof typeof statements;

const firstRoute: Route = {
	database: 'crew', group: 'alpha', freshness: 'session', maxStaleness: 3000, statementTimeout: 2000, targetLatency: 200, priority: 1, isPublic: false,
};
const fenced: PrimaryView = {kind: 'unavailable', reason: 'fencing', retryAfter: 60_000};

/** Creates a group whose one instance leads epoch 1, as every group's first primary does, and says what it is asked. */
function createGroup(name: string, position: bigint, onJob: (job: Job) => void) {
	const id = `i-${name}`;
	const jobs: Job[] = [];
	const recorded: string[] = [];
	const required: unknown[] = [];
	let view: PrimaryView = {kind: 'leased', instance: id, epoch: 1};
	/** Kinds of the jobs that were begun, for which a connection may be set up, whether or not they were sent. */
	const begun: string[] = [];
	const runJob = async (job: Job, maySend: () => boolean): Promise<JobAnswer> => {
		begun.push(job.kind);
		if (job.kind !== 'rollback' && !maySend()) {
			return {kind: 'notSent', reason: 'may not be sent'};
		}

		jobs.push(job);
		onJob(job);
		return {
			kind: 'answered',
			outcome: {kind: 'done', rows: [], signature: '7'},
			state: job.kind === 'begin' || job.kind === 'within' ? 'open' : 'idle',
			position: {term: 1, position},
			...job.kind === 'begin' && {transaction: 5},
		};
	};

	const instance = {
		listed: () => ({id, zone: 'a'}),
		run: async (job: Job, maySend: () => boolean) => ({answer: await runJob(job, maySend), runner: runJob}),
		checkGateway: () => undefined,
	};
	return {
		name,
		jobs,
		begun,
		recorded,
		required,
		primary: () => view,
		setView(newer: PrimaryView) {
			view = newer;
		},
		waitForPrimary: async () => view,
		findInstance: (wanted: string) => wanted === id ? instance : undefined,
		findRequiredPosition({lastWrite}: {readonly lastWrite: unknown}) {
			required.push(lastWrite);
			return undefined;
		},
		recordAnswer(from: string) {
			recorded.push(from);
		},
		recordCommit: () => undefined,
		findLogMark: () => undefined,
		findNewestPosition: () => undefined,
	};
}

/** Creates the runner of a session on the database `crew`, whose route and workspace the test changes. */
function createHarness() {
	let onJob: (job: Job) => void = () => undefined;
	const tell = (job: Job) => {
		onJob(job);
	};

	const alpha = createGroup('alpha', 70n, tell);
	const beta = createGroup('beta', 9n, tell);
	const groups = new Map([alpha, beta].map(group => [group.name, group]));
	let access: Access = {
		kind: 'allowed', route: firstRoute, workspace: 'upper', version: 1,
	};
	const context = {
		now: () => ({steady: 1000, wall: 1000}),
		findAccess: () => access,
		regions: {byZone: new Map([['a', 'north']])},
		transactionIdleLimit: () => 60_000,
		findGroup: (name: string) => groups.get(name),
		takeOperation: async () => ({kind: 'taken'}),
		findStopPhase: () => 'serving',
		onAnswered: () => undefined,
		log: {debug: () => undefined, info: () => undefined, warn: () => undefined},
	} as unknown as SessionContext;
	const runner = createStatementRunner({context, findCaller: () => ({database: 'crew', keyDigest: 'k'})});
	return {
		alpha,
		beta,
		/** Runs statements, and returns `done` or the code of a failure for each. */
		async run(...kinds: readonly Kind[]) {
			const results: string[] = [];
			for (const kind of kinds) {
				const trace = createStatementTrace();
				const outcome = await runner.run({ // eslint-disable-line no-await-in-loop -- statements run one after another
					kind: 'statement', id: kind, text: kind.toUpperCase(), statement: statements[kind],
				}, trace);
				results.push(outcome.kind === 'done' ? 'done' : outcome.code);
			}

			return results;
		},
		/** Applies a new configuration. */
		configure(route: Partial<Route>, workspace = 'upper') {
			access = {
				kind: 'allowed', route: {...firstRoute, ...route}, workspace, version: 2, allowedRegions: route.allowedRegions,
			};
		},
		setOnJob(newer: (job: Job) => void) {
			onJob = newer;
		},
		end: runner.end,
	};
}

const listKinds = (jobs: readonly Job[]) => jobs.map(({kind}) => kind);

describe('createStatementRunner, when the instance of a transaction is no longer in an allowed region', () => {
	// The values and prepared statements of the session would be sent there before the statement itself is checked.
	it('begins no job for a further statement, and rolls back', async () => {
		const {alpha, run, configure} = createHarness();
		await run('begin', 'write');
		configure({allowedRegions: new Set(['east'])});
		expect(await run('write')).to.deep.equal(['aborted']);
		expect(alpha.begun).to.deep.equal(['begin', 'within', 'rollback']);
	});
});

describe('createStatementRunner, when the database is given to another group during a transaction', () => {
	// Guards against a commit at a replaced primary that is acknowledged because the primary of another group has the same epoch.
	it('sends no commit to a primary that is being replaced', async () => {
		const {alpha, run, configure} = createHarness();
		await run('begin', 'write');
		configure({group: 'beta'});
		alpha.setView(fenced);
		expect(await run('commit')).to.deep.equal(['aborted']);
		expect(listKinds(alpha.jobs)).to.deep.equal(['begin', 'within', 'rollback']);
	});

	// Guards against the same where the primary is replaced while the commit runs.
	it('does not acknowledge a commit whose primary was replaced while it ran', async () => {
		const {alpha, run, configure, setOnJob} = createHarness();
		await run('begin', 'write');
		configure({group: 'beta'});
		setOnJob(({kind}) => {
			if (kind === 'commit') {
				alpha.setView(fenced);
			}
		});
		expect(await run('commit')).to.deep.equal(['unknown']);
	});

	// Guards against statements at a replaced primary for the same reason.
	it('sends no statement to a primary that is being replaced', async () => {
		const {alpha, run, configure} = createHarness();
		await run('begin', 'write');
		configure({group: 'beta'});
		alpha.setView(fenced);
		expect(await run('write')).to.deep.equal(['aborted']);
		expect(listKinds(alpha.jobs)).to.deep.equal(['begin', 'within', 'rollback']);
	});

	// Guards against a transaction that fails because the primary of the group that it does not run on is replaced.
	it('finishes on its own group, whatever becomes of the other one', async () => {
		const {alpha, beta, run, configure} = createHarness();
		await run('begin', 'write');
		configure({group: 'beta'});
		beta.setView(fenced);
		expect(await run('write', 'commit')).to.deep.equal(['done', 'done']);
		expect(listKinds(alpha.jobs)).to.deep.equal(['begin', 'within', 'within', 'commit']);
		expect(beta.jobs).to.deep.equal([]);
	});

	// Guards against a commit at one instance id that is acknowledged under the lease on another one.
	it('sends no commit when the lease of the epoch names another instance', async () => {
		const {alpha, run} = createHarness();
		await run('begin', 'write');
		alpha.setView({kind: 'leased', instance: 'i-other', epoch: 1});
		expect(await run('commit')).to.deep.equal(['aborted']);
	});

	// Guards against a log position of one group that is taken for a position of another group's log.
	it('records the position of the commit for its own group', async () => {
		const {alpha, beta, run, configure} = createHarness();
		await run('begin', 'write');
		configure({group: 'beta'});
		expect(await run('commit')).to.deep.equal(['done']);
		expect(alpha.recorded).to.deep.equal(['i-alpha', 'i-alpha']);
		expect(beta.recorded).to.deep.equal([]);
	});

	// Guards against time limits and priorities of a newer route within a transaction that began before it.
	it('keeps the route of its begin to its end', async () => {
		const {alpha, run, configure} = createHarness();
		await run('begin', 'write');
		configure({group: 'beta', statementTimeout: 10, priority: 3});
		await run('read', 'commit');
		expect(alpha.jobs.slice(-2)).to.have.nested.property('[0].timeout', 2000);
		expect(alpha.jobs.slice(-2)).to.have.nested.property('[1].priority', 1);
	});

	it('does not acknowledge a single write whose primary was replaced while it ran', async () => {
		const {alpha, run, configure, setOnJob} = createHarness();
		setOnJob(() => {
			configure({group: 'beta'});
			alpha.setView(fenced);
		});
		expect(await run('write')).to.deep.equal(['unknown']);
	});

	it('begins the next transaction on the new group', async () => {
		const {alpha, beta, run, configure} = createHarness();
		await run('begin', 'write');
		configure({group: 'beta'});
		expect(await run('commit', 'begin', 'write', 'commit')).to.deep.equal(['done', 'done', 'done', 'done']);
		expect(listKinds(alpha.jobs)).to.deep.equal(['begin', 'within', 'commit']);
		expect(listKinds(beta.jobs)).to.deep.equal(['begin', 'within', 'commit']);
	});
});

describe('createStatementRunner, when the database moves between groups', () => {
	const firstWrite = {epoch: 1, position: {term: 1, position: 70n}};

	// Guards against reads that wait for a position of another group's log.
	it('does not require the last write to one group from the log of another', async () => {
		const {beta, run, configure} = createHarness();
		await run('write');
		configure({group: 'beta'});
		expect(await run('read')).to.deep.equal(['done']);
		expect(beta.required).to.deep.equal([undefined]);
	});

	// Guards against a read that does not see the session's write to the group, since a write to another group came after it.
	it('requires the last write to a group when the database comes back to it', async () => {
		const {alpha, run, configure} = createHarness();
		await run('write');
		configure({group: 'beta'});
		await run('write');
		configure({group: 'alpha'});
		expect(await run('read')).to.deep.equal(['done']);
		expect(alpha.required).to.deep.equal([firstWrite]);
	});

	// Guards against a commit on the former group that counts as a write to the present one.
	it('counts a commit as a write to the group of its transaction', async () => {
		const {alpha, beta, run, configure} = createHarness();
		await run('begin', 'write');
		configure({group: 'beta'});
		await run('commit', 'read');
		configure({group: 'alpha'});
		await run('read');
		expect(beta.required).to.deep.equal([undefined]);
		expect(alpha.required).to.deep.equal([firstWrite]);
	});
});

describe('createStatementRunner, when the key is given to another workspace', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly before: readonly Kind[]; readonly kind: Kind; readonly jobs: ReadonlyArray<Job['kind']>}> = [
		{
			name: 'a statement of an open transaction', before: ['begin', 'write'], kind: 'write', jobs: ['begin', 'within', 'rollback'],
		},
		{
			name: 'the commit of an open transaction', before: ['begin', 'write'], kind: 'commit', jobs: ['begin', 'within', 'rollback'],
		},
		{
			name: 'the first statement of a transaction that counted against the other workspace', before: ['begin'], kind: 'write', jobs: [],
		},
	];
	for (const {name, before, kind, jobs} of cases) {
		// Guards against statements that run in the name of a workspace that does not hold the key.
		it(`does not send ${name}`, async () => {
			const {alpha, run, configure} = createHarness();
			await run(...before);
			configure({}, 'lower');
			expect(await run(kind)).to.deep.equal(['aborted']);
			expect(listKinds(alpha.jobs)).to.deep.equal(jobs);
		});
	}

	// Guards against the same where the key changes hands while the statement waits.
	it('does not send a single write that waited for the primary meanwhile', async () => {
		const {alpha, run, configure} = createHarness();
		const leased = alpha.primary();
		alpha.setView({kind: 'unavailable', reason: 'lapsed', retryAfter: 10});
		const running = run('write');
		alpha.setView(leased);
		configure({}, 'lower');
		expect(await running).to.deep.equal(['busy']);
		expect(alpha.jobs).to.deep.equal([]);
	});

	it('runs the next statement in the name of the other workspace', async () => {
		const {alpha, run, configure} = createHarness();
		await run('write');
		configure({}, 'lower');
		expect(await run('write')).to.deep.equal(['done']);
		expect(alpha.jobs.map(job => 'workspace' in job && job.workspace)).to.deep.equal(['upper', 'lower']);
	});
});
