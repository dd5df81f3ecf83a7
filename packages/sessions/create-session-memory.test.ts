import {setImmediate as turn} from 'node:timers/promises';
import {expect} from 'chai';
import {createSessionHarness} from './_create-session-harness.ts';
import {createByteBudget} from './create-byte-budget.ts';

/** Bytes that the values of all sessions may take. */
const valueBudgetBytes = 5_000_000;

type Harness = ReturnType<typeof createSessionHarness>;

describe('createSession, values and prepared statements', () => {
	// Guards against values, each of which a message may have, that use up the memory of the process.
	it('refuses values beyond the bytes of a session, and keeps its earlier values', async () => {
		const harness = createSessionHarness();
		for (let number = 0; number < 200; number++) {
			await harness.set(`name${number}`, 1_000_000); // eslint-disable-line no-await-in-loop -- one after the other
		}

		await harness.set('name0', 2_000_000);
		await harness.set('name1', 500_000);
		await harness.run(['read']);
		expect(harness.sent.slice(0, 4)).to.deep.equal(['done idle', 'done idle', 'done idle', 'tooBig idle']);
		expect(harness.sent.slice(-2)).to.deep.equal(['tooBig idle', 'done idle']);
		expect(harness.findValues()).to.deep.equal(['name0 1000000', 'name1 500000', 'name2 1000000']);
	});

	// Guards against many sessions, each within its limit, that use up the memory of the process.
	it('refuses values beyond the bytes of all sessions, while other sessions go on, until a session ends', async () => {
		const valueBudget = createByteBudget(valueBudgetBytes);
		const first = createSessionHarness({valueBudget});
		const second = createSessionHarness({valueBudget});
		await first.set('a', 3_000_000);
		await second.set('a', 3_000_000);
		await second.set('a', 1_000_000);
		await second.run(['read']);
		await second.answer('idle');
		expect(second.sent).to.deep.equal(['busy idle', 'done idle', 'done idle']);
		first.session.end();
		await second.set('b', 1_500_000);
		expect(second.sent.at(-1)).to.equal('done idle');
	});

	// Guards against a promise that nothing is kept, behind which the transaction could be committed.
	it('rolls back the transaction in which a value is refused for want of memory', async () => {
		const harness = createSessionHarness({valueBudget: createByteBudget(100)});
		await harness.run(['begin', 'set', 'commit']);
		expect(harness.sent).to.deep.equal(['done open', 'aborted failed', 'aborted idle']);
	});

	const placements = [
		{kinds: ['begin', 'write', 'set', 'commit'], jobs: ['begin', 'within', 'commit a']},
		{kinds: ['begin', 'set', 'write', 'commit'], jobs: ['begin a', 'within a', 'commit']},
		{kinds: ['begin', 'write', 'set', 'write', 'set', 'commit'], jobs: ['begin', 'within', 'within a', 'commit a']},
		{kinds: ['begin', 'set', 'commit'], jobs: ['begin a', 'commit']},
		{kinds: ['set', 'begin', 'write', 'commit', 'begin', 'write', 'commit'], jobs: ['begin a', 'within a', 'commit', 'begin a', 'within a', 'commit']},
	] as const;
	for (const {kinds, jobs} of placements) {
		// Guards against a COMMIT that runs with earlier values than those acknowledged to its client.
		it(`sends the values with whatever job follows them: ${kinds.join(', ')}`, async () => {
			const harness = createSessionHarness();
			const sent: string[] = [];
			for (const kind of kinds) {
				await harness.run([kind]); // eslint-disable-line no-await-in-loop -- one after the other
				sent.push(...harness.jobs.slice(sent.length).map(job => [job.kind, ...'setup' in job ? job.setup.variables.keys() : []].join(' ')));
				await harness.answer(kind === 'commit' ? 'idle' : 'open'); // eslint-disable-line no-await-in-loop -- one after the other
			}

			expect(sent).to.deep.equal(jobs);
		});
	}

	const ends = [
		{
			name: 'the caller disconnects', async end({session}: Harness) {
				session.end();
			},
		},
		{
			name: 'the caller ends the session', async end({session}: Harness) {
				session.receive({kind: 'terminate'});
			},
		},
		{
			name: 'a message is too long', async end({session}: Harness) {
				session.receive({kind: 'broken', reason: 'too long'});
			},
		},
		{name: 'the host stops, and the session is not used', end: async ({step}: Harness) => step('draining', 100)},
		{name: 'the stop of the host is at its end', end: async ({step}: Harness) => step('answering')},
		{
			name: 'the caller disconnects while a statement runs', async end({run, session, answer}: Harness) {
				await run(['read', 'set']);
				session.end();
				await answer('idle');
			},
		},
		{
			name: 'the stop of the host is at its end, and statements run and wait', async end({run, step, answer}: Harness) {
				await run(['read', 'set']);
				await step('answering');
				await answer('idle');
			},
		},
	];
	for (const {name, end} of ends) {
		// Guards against bytes that stay taken, so that the host refuses values for good.
		it(`gives back the bytes of a session's values when ${name}`, async () => {
			const valueBudget = createByteBudget(valueBudgetBytes);
			const harness = createSessionHarness({valueBudget});
			await harness.set('a', 1000);
			await harness.set('a', 2000);
			expect(valueBudget.taken()).to.be.above(2000);
			await end(harness);
			await turn();
			expect(valueBudget.taken()).to.equal(0);
		});
	}

	it('gives back the bytes of a prepared statement that is closed', async () => {
		const valueBudget = createByteBudget(valueBudgetBytes);
		const {session} = createSessionHarness({valueBudget});
		session.receive({
			kind: 'statement', id: 'p', text: '', statement: {kind: 'prepare', name: 's', prepared: {access: 'read', shape: 'q'.repeat(1000)}},
		});
		await turn();
		expect(valueBudget.taken()).to.be.above(1000);
		session.receive({
			kind: 'statement', id: 'c', text: '', statement: {kind: 'close', name: 's'},
		});
		await turn();
		expect(valueBudget.taken()).to.equal(0);
	});
});
