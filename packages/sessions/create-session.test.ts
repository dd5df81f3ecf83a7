import {setImmediate as turn} from 'node:timers/promises';
import {expect} from 'chai';
import {createSessionHarness} from './_create-session-harness.ts';

type Harness = ReturnType<typeof createSessionHarness>;

describe('createSession', () => {
	const running = [
		{
			name: 'a read', before: [], kinds: ['read'], sent: ['busy idle'],
		},
		{
			name: 'a write that was sent', before: [], kinds: ['write'], sent: ['unknown idle'],
		},
		{
			name: 'a read in a transaction', before: ['begin'], kinds: ['read'], sent: ['aborted failed'],
		},
		{
			name: 'a write in a transaction', before: ['begin'], kinds: ['write'], sent: ['aborted failed'],
		},
		{
			name: 'a commit of writes', before: ['begin', 'write'], kinds: ['commit'], sent: ['unknown idle'],
		},
		{
			name: 'a commit of reads', before: ['begin', 'read'], kinds: ['commit'], sent: ['aborted idle'],
		},
		{
			name: 'a read, and statements that wait behind it', before: [], kinds: ['read', 'write', 'begin'], sent: ['busy idle', 'busy idle', 'busy idle'],
		},
		{
			name: 'a write in a transaction, and the commit that waits behind it', before: ['begin'], kinds: ['write', 'commit'], sent: ['aborted failed', 'aborted idle'],
		},
	] as const;
	const waiting = [
		{
			name: 'a rollback that waits', before: ['begin'], kinds: ['write', 'rollback', 'read'], sent: ['aborted failed', 'done idle', 'busy idle'],
		},
		{
			name: 'a value that waits', before: [], kinds: ['read', 'set'], sent: ['busy idle', 'done idle'],
		},
		{
			name: 'a commit that waits behind the refused beginning of its transaction', before: [], kinds: ['read', 'begin', 'commit'], sent: ['busy idle', 'busy idle', 'busy idle'],
		},
	] as const;
	for (const {name, before, kinds, sent} of [...running, ...waiting]) {
		// Guards against a connection that ends without an answer to what the host has read, and against refusals that are not true.
		it(`answers at the end of a planned stop: ${name}`, async () => {
			const harness = createSessionHarness();
			for (const kind of before) {
				await harness.run([kind]); // eslint-disable-line no-await-in-loop -- one after the other
				await harness.answer('open'); // eslint-disable-line no-await-in-loop -- one after the other
			}

			harness.sent.length = 0;
			await harness.run(kinds);
			await harness.step('answering');
			expect(harness.sent).to.deep.equal(sent);
			expect(harness.isClosed()).to.equal(true);
			const jobs = harness.jobs.length;
			await harness.answer('open');
			expect(harness.sent).to.deep.equal(sent);
			expect(harness.jobs.slice(jobs).map(({kind}) => kind)).to.not.include.members(['single', 'within', 'commit']);
		});
	}

	it('answers a write that waits for the rate as not run at the end of a planned stop', async () => {
		const harness = createSessionHarness({rate: new Promise(() => {/* never settles */})});
		await harness.run(['write']);
		await harness.step('answering');
		expect(harness.sent).to.deep.equal(['busy idle']);
		expect(harness.jobs).to.deep.equal([]);
	});

	// Guards against passing on a statement that waited until it can no longer be answered in time.
	it('does not send a write that waited for the rate until transactions are ended', async () => {
		let grant: () => void = () => undefined;
		const harness = createSessionHarness({
			rate: new Promise(resolve => {
				grant = resolve;
			}),
		});
		await harness.run(['write']);
		await harness.step('rollingBack');
		grant();
		await turn();
		expect(harness.jobs).to.deep.equal([]);
		await harness.step('answering');
		expect(harness.sent).to.deep.equal(['busy idle']);
	});

	// Guards against an unknown outcome, which a caller does not run again, for a write that the instance has refused.
	it('answers a write as not run that an instance refused, and that waits to be tried again', async () => {
		const harness = createSessionHarness();
		await harness.run(['write']);
		await harness.answerWith({kind: 'failed', code: 'busy', reason: 'no slot'});
		await harness.step('answering');
		expect(harness.sent).to.deep.equal(['busy idle']);
	});

	it('rolls back an open transaction when it has had its time, and tells the caller with the next statement', async () => {
		const harness = createSessionHarness();
		await harness.run(['begin', 'write']);
		await harness.answer('open');
		harness.sent.length = 0;
		await harness.step('refusing');
		expect(harness.jobs.map(({kind}) => kind)).to.deep.equal(['begin', 'within']);
		await harness.step('rollingBack');
		expect(harness.jobs.map(({kind}) => kind)).to.deep.equal(['begin', 'within', 'rollback']);
		await harness.run(['commit']);
		expect(harness.sent).to.deep.equal(['aborted idle']);
		await harness.step('rollingBack', 100);
		expect(harness.isClosed()).to.equal(true);
	});

	it('lets a statement run that began before transactions are ended', async () => {
		const harness = createSessionHarness();
		await harness.run(['begin', 'write']);
		await harness.step('rollingBack', 500);
		await harness.answer('open');
		expect(harness.sent).to.deep.equal(['done open', 'done open']);
		await harness.step('rollingBack');
		await harness.run(['write']);
		expect(harness.sent.at(-1)).to.equal('aborted failed');
	});

	const failing = [
		{name: 'a read', kinds: ['read', 'read'], sent: ['busy idle', 'busy idle']},
		{name: 'a write that was sent', kinds: ['write'], sent: ['unknown idle']},
		{name: 'the first statement of a transaction', kinds: ['begin', 'write'], sent: ['done open', 'aborted failed']},
	] as const;
	for (const {name, kinds, sent} of failing) {
		// Guards against an unexpected error in one statement that ends the process, and cuts the statements of all sessions.
		it(`answers ${name} that fails unexpectedly, and closes this session only`, async () => {
			const harness = createSessionHarness({hasError: true});
			await harness.run(kinds);
			expect(harness.sent).to.deep.equal(sent);
			expect(harness.isClosed()).to.equal(true);
		});
	}

	const unused = [
		{phase: 'serving', elapsedMs: 10_000, isClosed: false},
		{phase: 'draining', elapsedMs: 99, isClosed: false},
		{phase: 'draining', elapsedMs: 100, isClosed: true},
		{phase: 'answering', elapsedMs: 0, isClosed: true},
	] as const;
	for (const {phase, elapsedMs, isClosed} of unused) {
		// Guards against closing a session right behind an answer, when the caller's next statement is already on its way.
		it(`${isClosed ? 'closes' : 'keeps'} a session that was unused for ${elapsedMs} ms while ${phase}`, async () => {
			const harness = createSessionHarness();
			await harness.run(['read']);
			await harness.answer('idle');
			await harness.step(phase, elapsedMs);
			expect(harness.isClosed()).to.equal(isClosed);
		});
	}

	const abortions = [
		{name: 'at the end of a planned stop', end: async ({step}: Harness) => step('answering')},
		{
			name: 'when it is aborted for want of memory', async end({session}: Harness) {
				session.abort('no memory');
			},
		},
	];
	for (const {name, end} of abortions) {
		// Guards against a connection that ends without an answer to what the host has read and the session has not taken yet.
		it(`answers what waits outside of the session ${name}`, async () => {
			const harness = createSessionHarness();
			await harness.run(['write']);
			harness.backlog.push('read', 'set', 'begin', 'commit');
			await end(harness);
			expect(harness.sent).to.deep.equal(['unknown idle', 'busy idle', 'done idle', 'busy idle', 'busy idle']);
			expect(harness.isClosed()).to.equal(true);
			await harness.answer('idle');
			expect(harness.sent).to.have.length(5);
		});
	}

	// Guards against statements that pile up in a session.
	it('takes one message at a time, and asks for the next one when it has answered', async () => {
		const harness = createSessionHarness();
		harness.backlog.push('read', 'set');
		expect(harness.receive('read')).to.equal(false);
		await turn();
		expect(harness.backlog).to.have.length(2);
		await harness.answer('idle');
		expect(harness.backlog).to.have.length(1);
		await harness.answer('idle');
		expect(harness.sent).to.deep.equal(['done idle', 'done idle', 'done idle']);
	});
});
