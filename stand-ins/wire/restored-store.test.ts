/* eslint-disable unicorn/no-await-expression-member -- keeps each step of a session on one line */
/* eslint-disable no-await-in-loop -- steps run in sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {repeatStatement} from './repeat-statement.ts';
import {repeatWrites} from './repeat-writes.ts';
import {sendStatement} from './send-statement.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Time limit for a configuration to be in force on all hosts, as in the hosts' settings. */
const configurationLimitMs = 3000;

/** Time limit after the return of the store until callers are served again, as for a configuration. */
const serviceLimitMs = 3000;

/** Milliseconds within which a change in the store reaches all hosts, without faults. */
const settleMs = 1000;

describe('hosts over the wire protocol, when the store comes back from an older copy', () => {
	let deployment: WireDeployment;
	const query = async (host: number, text: string, key = 'good') => sendStatement({port: deployment.hosts[host]?.port ?? 0, key, text});

	beforeEach(async () => {
		deployment = await startWireDeployment({hostCount: 3, lag: 80});
		await deployment.waitUntilReady();
		expect(await repeatWrites(deployment.hosts, {limitMs: 5000})).to.be.below(5000);
	});

	afterEach(() => {
		deployment.stop();
	});

	// Guards against rows being taken for the lost ones with the same version: a withdrawn key went on working on all hosts.
	it('applies a configuration whose row gets the version of a lost one', async () => {
		const {store} = deployment;
		deployment.configure({keys: ['good', 'other', 'third']});
		const lostVersion = store.version();
		await sleep(settleMs);
		expect((await query(0, 'READ first', 'third')).result).to.match(/^COMPLETE/v);
		await store.restore({lostMs: settleMs + 200, awayMs: 600, rewriteAfterMs: undefined});
		while (store.version() < lostVersion - 1) {
			store.put('other', 'row', {});
		}

		deployment.configure({keys: ['good', 'other']});
		expect(await repeatWrites(deployment.hosts, {key: 'third', expected: 'ERROR BADKEY', limitMs: configurationLimitMs})).to.be.below(configurationLimitMs);
		expect(await repeatWrites(deployment.hosts, {limitMs: serviceLimitMs})).to.be.below(serviceLimitMs);
	});

	// Guards against a withdrawn key coming back, on hosts that knew of it and on one that starts, until operators write again.
	it('keeps a key withdrawn that the store has forgotten was withdrawn', async () => {
		const {store} = deployment;
		await sleep(settleMs);
		deployment.configure({keys: ['good']});
		const changedAt = performance.now();
		expect(await repeatWrites(deployment.hosts, {key: 'other', expected: 'ERROR BADKEY', limitMs: configurationLimitMs})).to.be.below(configurationLimitMs);
		await store.restore({lostMs: performance.now() - changedAt + 100, awayMs: 500, rewriteAfterMs: undefined});
		await deployment.restart(0);
		const answers = [];
		for (let round = 0; round < 30; round++) {
			answers.push(await query(round % 3, 'READ first', 'other'));
			await sleep(50);
		}

		expect(answers.filter(({result}) => result.startsWith('COMPLETE'))).to.deep.equal([]);
		deployment.configure({keys: ['good']});
		expect(await repeatWrites(deployment.hosts, {limitMs: serviceLimitMs})).to.be.below(serviceLimitMs);
	});

	// Guards against all updates being left out as older until the versions of the store have passed the remembered ones.
	it('serves callers soon after the return, although the versions of the store are lower than before', async () => {
		const {store} = deployment;
		for (let number = 0; number < 300; number++) {
			store.put('other', 'row', {});
		}

		await sleep(settleMs);
		await store.restore({lostMs: settleMs + 500, awayMs: 2000, rewriteAfterMs: 0});
		expect(await repeatWrites(deployment.hosts, {limitMs: serviceLimitMs})).to.be.below(serviceLimitMs);
	});

	// Guards against a primary that was replaced in the lost seconds being used again, and against a fencing token given out twice.
	it('goes on with the primary that was promoted in the lost seconds', async () => {
		const {store, instances} = deployment;
		const [oldPrimary] = instances;
		if (oldPrimary === undefined) {
			throw new Error('The deployment has no instances');
		}

		const startedAt = performance.now();
		deployment.drain(oldPrimary);
		while (oldPrimary.role() === 'primary') {
			await sleep(50);
		}

		expect(await repeatStatement(async () => query(1, 'WRITE pond new'), {limitMs: 5000})).to.be.below(5000);
		await sleep(settleMs);
		await store.restore({lostMs: performance.now() - startedAt + 100, awayMs: 600, rewriteAfterMs: 300});
		const answers = [];
		for (let round = 0; round < 20; round++) {
			answers.push(await query(round % 3, 'READ pond'));
			await sleep(100);
		}

		expect(answers.filter(({result, rows}) => result.startsWith('COMPLETE') && rows[0] !== 'new')).to.deep.equal([]);
		expect(await repeatWrites(deployment.hosts, {limitMs: serviceLimitMs})).to.be.below(serviceLimitMs);
		expect((await query(0, 'READ pond')).rows).to.deep.equal(['new']);
		const promotedBefore = deployment.promotions().at(-1)?.token ?? 0;
		const primary = instances.find(instance => instance.role() === 'primary');
		primary?.stopAnswering();
		expect(await repeatWrites(deployment.hosts, {limitMs: 10_000})).to.be.below(10_000);
		expect(deployment.promotions().at(-1)?.token).to.be.above(promotedBefore);
	});
});
