import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createStatementGate} from './create-statement-gate.ts';
import type {StatementPlace} from './statement-place.ts';

/** Creates the gate of an instance that has just started, and lets statements of workspaces enter one after the other. */
function createCase({connectionLimit = 20} = {}) {
	const entered: string[] = [];
	const places = new Map<string, StatementPlace>();
	const endings = new Map<string, () => void>();
	const idle = new Set<string>();
	const waits: string[] = [];
	const gate = createStatementGate({
		findBounds: () => ({slots: 2, share: 1, ceiling: 3}),
		findConnectionLimit: () => connectionLimit,
		listIdleWorkspaces: () => idle,
		onChanged: () => undefined,
		onWaitEnded({outcome}) {
			waits.push(outcome);
		},
		now: () => performance.now(),
	});

	const enter = async (workspace: string, {
		kind = 'single', priority = 1, timeout = 400, targetLatency = timeout,
	}: {kind?: 'single' | 'begin'; priority?: number; timeout?: number; targetLatency?: number} = {}) => {
		const since = performance.now();
		const outcome = await gate.enter({
			kind, workspace, priority, since, deadline: since + timeout, target: since + targetLatency,
		});
		if (outcome.kind === 'entered') {
			entered.push(workspace);
			places.set(workspace, outcome.place);
			endings.set(workspace, outcome.endTransaction);
		}

		return outcome.kind;
	};

	const leave = async (workspace: string) => {
		places.get(workspace)?.leave({kind: 'answered', latency: 1});
		await sleep(0);
	};

	return {
		gate, enter, leave, entered, places, endings, idle, waits,
	};
}

describe('createStatementGate', () => {
	it('lets one statement through at a time at an instance that has just started, by priority and in their order', async () => {
		const {enter, leave, entered} = createCase();
		await enter('first');
		const waiting = [enter('second'), enter('third'), enter('urgent', {priority: 0})];
		await leave('first');
		expect(entered).to.deep.equal(['first', 'urgent']);
		await leave('urgent');
		await leave('second');
		await Promise.all(waiting);
		expect(entered).to.deep.equal(['first', 'urgent', 'second', 'third']);
	});

	it('refuses a statement that finds no place in its time', async () => {
		const {gate, enter} = createCase();
		await enter('first');
		expect(await enter('second', {timeout: 10})).to.equal('busy');
		expect(await enter('late', {timeout: 0})).to.equal('busy');
		expect(gate.readLoad().waiting).to.equal(0);
	});

	it('refuses all that wait when the instance cannot be reached, and lets the next one try', async () => {
		const {enter, places} = createCase();
		await enter('first');
		const waiting = [enter('second'), enter('third')];
		places.get('first')?.leave({kind: 'unreachable'});
		expect(await Promise.all(waiting)).to.deep.equal(['unreachable', 'unreachable']);
		expect(await enter('fourth')).to.equal('entered');
	});

	it('passes over the place of a statement whose answer hangs', async () => {
		const {enter, entered} = createCase();
		await enter('hanging');
		expect(await enter('next')).to.equal('entered');
		expect(entered).to.deep.equal(['hanging', 'next']);
	});

	it('lets a commit through at once, and a statement of an open transaction soon and before others', async () => {
		const {gate, enter, entered} = createCase();
		await enter('first');
		const single = enter('single', {timeout: 1000});
		gate.enterCommit().leave({kind: 'neutral'});
		const place = await gate.enterWithin();
		expect(entered).to.deep.equal(['first']);
		place.leave({kind: 'neutral'});
		expect(await single).to.equal('entered');
	});

	it('begins no more transactions than leave connections for statements, and lets statements pass', async () => {
		const {enter, leave, entered, endings} = createCase({connectionLimit: 2});
		await enter('first', {kind: 'begin'});
		await leave('first');
		const second = enter('second', {kind: 'begin'});
		await enter('single');
		await leave('single');
		expect(entered).to.deep.equal(['first', 'single']);
		endings.get('first')?.();
		expect(await second).to.equal('entered');
	});

	it('begins a slow start when it is told to', async () => {
		const {gate, enter, leave} = createCase();
		for (let index = 0; index < 20; index++) {
			await enter('first'); // eslint-disable-line no-await-in-loop -- one after the other
			await leave('first'); // eslint-disable-line no-await-in-loop -- one after the other
		}

		expect(gate.readLoad().limit).to.equal(3);
		gate.restart();
		expect(gate.readLoad()).to.include({limit: 1, inProgress: 0, waiting: 0});
	});

	/** Has statements done one after another that take some milliseconds each, until the gate knows how long they take. */
	const measure = async ({enter, leave}: ReturnType<typeof createCase>) => {
		for (let index = 0; index < 12; index++) {
			await enter('measured'); // eslint-disable-line no-await-in-loop -- one after the other
			await sleep(5); // eslint-disable-line no-await-in-loop -- one after the other
			await leave('measured'); // eslint-disable-line no-await-in-loop -- one after the other
		}
	};

	it('refuses early a statement that cannot be served in time, with a time to come back, and none of an open transaction', async () => {
		const tested = createCase();
		const {gate, enter, places, waits} = tested;
		await measure(tested);
		const {limit} = gate.readLoad();
		const holding = Array.from({length: limit}, async (_, index) => enter(`holding ${index}`));
		await Promise.all(holding);
		const waiting = Array.from({length: 30}, async () => enter('waiting', {priority: 0, timeout: 1000, targetLatency: 60}));
		const within = gate.enterWithin();
		const since = performance.now();
		const refused = await gate.enter({
			kind: 'single', workspace: 'refused', priority: 1, since, deadline: since + 20,
		});
		expect(refused).to.include({kind: 'busy', ahead: 30}).and.to.have.property('retryAfterMs').that.is.within(20, 200);
		expect(performance.now() - since).to.be.below(10);
		expect(waits).to.deep.equal(['overdue']);
		places.get('holding 0')?.leave({kind: 'neutral'});
		expect(await within).to.have.property('leave');
		for (const place of places.values()) {
			place.leave({kind: 'unreachable'});
		}

		expect(new Set(await Promise.all(waiting))).to.deep.equal(new Set(['unreachable']));
		expect(waits).to.have.length(31);
	});

	// Guards against waits that are predicted too short since jobs which were not sent count as fast statements.
	it('refuses early also beside jobs that end unsent, as at an instance that is cold or evacuated', async () => {
		const tested = createCase();
		const {gate, enter, places} = tested;
		await measure(tested);
		for (let index = 0; index < 100; index++) {
			await enter('unsent'); // eslint-disable-line no-await-in-loop -- one after the other
			places.get('unsent')?.leave({kind: 'neutral'});
		}

		const {limit} = gate.readLoad();
		await Promise.all(Array.from({length: limit}, async (_, index) => enter(`holding ${index}`)));
		const waiting = Array.from({length: 30}, async () => enter('waiting', {priority: 0, timeout: 1000, targetLatency: 60}));
		const since = performance.now();
		const refused = await gate.enter({
			kind: 'single', workspace: 'refused', priority: 1, since, deadline: since + 20,
		});
		expect(refused).to.include({kind: 'busy', ahead: 30});
		for (const place of places.values()) {
			place.leave({kind: 'unreachable'});
		}

		await Promise.all(waiting);
	});

	it('gives a time to come back to a statement that waits to its deadline', async () => {
		const tested = createCase();
		const {gate, enter, waits} = tested;
		await measure(tested);
		await Promise.all(Array.from({length: gate.readLoad().limit}, async (_, index) => enter(`holding ${index}`)));
		const since = performance.now();
		const refused = await gate.enter({
			kind: 'single', workspace: 'late', priority: 1, since, deadline: since + 30,
		});
		expect(refused).to.include({kind: 'busy'}).and.to.have.property('retryAfterMs').that.is.within(20, 200);
		expect(waits).to.deep.equal(['expired']);
	});

	it('lets a workspace with an idle connection go first within its round', async () => {
		const {enter, leave, entered, idle} = createCase();
		idle.add('idle');
		await enter('first');
		const waiting = [enter('second'), enter('idle'), enter('idle')];
		await leave('first');
		await leave('idle');
		expect(entered).to.deep.equal(['first', 'idle', 'second']);
		await leave('second');
		await Promise.all(waiting);
	});

	it('passes the permit of a transaction on when it expires before it enters', async () => {
		const {gate, enter, leave} = createCase({connectionLimit: 2});
		await enter('first');
		const expiring = enter('expiring', {kind: 'begin', timeout: 20});
		const next = enter('next', {kind: 'begin'});
		expect(gate.readLoad()).to.include({openTransactions: 1, waiting: 2});
		expect(await expiring).to.equal('busy');
		await leave('first');
		expect(await next).to.equal('entered');
		expect(gate.readLoad()).to.include({openTransactions: 1, waiting: 0});
	});
});
