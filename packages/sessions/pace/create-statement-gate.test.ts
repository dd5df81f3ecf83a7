import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createStatementGate} from './create-statement-gate.ts';
import type {StatementPlace} from './statement-place.ts';

/** Creates the gate of an instance that has just started, and lets statements of workspaces enter one after the other. */
function createCase({connectionLimit = 20} = {}) {
	const entered: string[] = [];
	const places = new Map<string, StatementPlace>();
	const gate = createStatementGate({
		findBounds: () => ({slots: 2, share: 1, ceiling: 3}),
		findConnectionLimit: () => connectionLimit,
		hasIdle: () => false,
		onChanged: () => undefined,
		now: () => performance.now(),
	});

	const enter = async (workspace: string, {kind = 'single', priority = 1, timeout = 400}: {kind?: 'single' | 'begin'; priority?: number; timeout?: number} = {}) => {
		const outcome = await gate.enter({
			kind, workspace, priority, deadline: performance.now() + timeout,
		});
		if (outcome.kind === 'entered') {
			entered.push(workspace);
			places.set(workspace, outcome.place);
		}

		return outcome.kind;
	};

	const leave = async (workspace: string) => {
		places.get(workspace)?.leave({kind: 'answered', latency: 1});
		await sleep(0);
	};

	return {
		gate, enter, leave, entered, places,
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
		const {gate, enter, leave, entered} = createCase({connectionLimit: 2});
		await enter('first', {kind: 'begin'});
		await leave('first');
		const second = enter('second', {kind: 'begin'});
		await enter('single');
		await leave('single');
		expect(entered).to.deep.equal(['first', 'single']);
		gate.endTransaction();
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
});
