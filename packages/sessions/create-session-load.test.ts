import {expect} from 'chai';
import {createSessionHarness} from './_create-session-harness.ts';
import {createByteBudget} from './create-byte-budget.ts';

/** Bytes that large statements may take, and those of one of them. */
const budgetBytes = 50_000;
const largeBytes = 30_000;

describe('createSession, with large statements', () => {
	// Guards against statements, each of legal size, that use up the memory of the process.
	it('refuses a large statement that the host has no memory for as not run, and runs it later', async () => {
		const statementBudget = createByteBudget(budgetBytes);
		const first = createSessionHarness({statementBudget});
		const second = createSessionHarness({statementBudget});
		await first.write(largeBytes);
		await second.write(largeBytes);
		expect(second.sent).to.deep.equal(['busy idle']);
		expect(second.jobs).to.deep.equal([]);
		await second.write(100);
		await second.answer('idle');
		await first.answer('idle');
		await second.write(largeBytes);
		await second.answer('idle');
		expect(second.sent).to.deep.equal(['busy idle', 'done idle', 'done idle']);
		expect(statementBudget.taken()).to.equal(0);
	});

	// Guards against a promise that nothing is kept, behind which the transaction could be committed.
	it('rolls back the transaction of a large statement that is refused', async () => {
		const statementBudget = createByteBudget(budgetBytes);
		const harness = createSessionHarness({statementBudget});
		await harness.run(['begin', 'write']);
		await harness.answer('open');
		statementBudget.take(budgetBytes);
		await harness.write(largeBytes);
		await harness.run(['commit']);
		expect(harness.sent.slice(-2)).to.deep.equal(['aborted failed', 'aborted idle']);
		expect(harness.jobs.map(({kind}) => kind)).to.deep.equal(['begin', 'within', 'rollback']);
	});

	// Guards against a statement whose caller is gone, but which still takes memory.
	it('counts a large statement until it ends, though its session has ended', async () => {
		const statementBudget = createByteBudget(budgetBytes);
		const harness = createSessionHarness({statementBudget});
		await harness.write(largeBytes);
		harness.session.abort('no reason');
		expect(statementBudget.taken()).to.equal(largeBytes);
		await harness.answer('idle');
		expect(statementBudget.taken()).to.equal(0);
	});
});

describe('createSession, with requests that are answered at once', () => {
	// Guards against sessions whose requests were sent ahead, and that keep the process from all other work.
	it('lets other work go on behind some of them', async () => {
		const count = 1000;
		const harness = createSessionHarness();
		harness.backlog.push(...Array.from({length: count}, () => 'set' as const));
		await harness.run(['set']);
		expect(harness.sent.length).to.be.within(1, count / 2);
		while (harness.backlog.length > 0) {
			await harness.run([]); // eslint-disable-line no-await-in-loop -- one turn after the other
		}

		await harness.run([]);
		expect(harness.sent).to.have.length(count + 1);
	});
});
