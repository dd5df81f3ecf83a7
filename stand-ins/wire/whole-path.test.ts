/* eslint-disable unicorn/no-await-expression-member -- a step of a session a line */
/* eslint-disable no-await-in-loop -- the steps follow each other */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {openWireClient} from './open-wire-client.ts';
import {startWireDeployment} from './start-wire-deployment.ts';
import type {WireClient} from './wire-client.ts';
import type {WireDeployment} from './wire-deployment.ts';

/** Milliseconds that replicas are behind. */
const lag = 80;

/** Milliseconds within which a dark primary must have been replaced: detection, votes, fence, promotion, and news. */
const writeGap = 3500;

/** Repeats a statement until it succeeds, as a caller does after a refusal. */
async function repeatUntilDone(client: WireClient, text: string, limit: number): Promise<number> {
	const startedAt = performance.now();
	while (performance.now() - startedAt < limit) {
		const {result} = await client.query(text);
		if (result.startsWith('COMPLETE')) {
			return performance.now() - startedAt;
		}

		await sleep(50);
	}

	return Number.POSITIVE_INFINITY;
}

describe('the whole path on the wire', () => {
	let deployment: WireDeployment;
	const open = (host: number, database: string, key = 'good') => openWireClient(deployment.hosts[host]?.port ?? 0, {database, key});

	before(async () => {
		deployment = await startWireDeployment({hostCount: 3, lag});
		await deployment.waitUntilReady();
		await sleep(1500);
	});

	after(() => {
		deployment.stop();
	});

	const starts = [
		{
			name: 'a known key and database', database: 'latest', key: 'good', expected: {result: '', state: 'I'},
		},
		{
			name: 'an unknown database', database: 'lakes', key: 'good', expected: {result: 'ERROR NODB', state: ''},
		},
		{
			name: 'an unknown key', database: 'latest', key: 'bad', expected: {result: 'ERROR BADKEY', state: ''},
		},
	];
	for (const {name, database, key, expected} of starts) {
		it(`answers the start of a session with ${name}`, async () => {
			expect(await open(0, database, key).started).to.include(expected);
		});
	}

	it('logs sessions that are refused at their start, with the reason', async () => {
		await sleep(100);
		const lines = deployment.hosts[0]?.output().split('\n').filter(line => line.includes('"kind":"start"')) ?? [];
		expect(lines.filter(line => line.includes('"outcome":"badKey"'))).to.have.length(1);
		expect(lines.filter(line => line.includes('"outcome":"noDatabase"'))).to.have.length(1);
	});

	it('lets a session read its own writes while replicas lag', async () => {
		const client = open(0, 'own');
		for (let number = 0; number < 10; number++) {
			expect((await client.query(`WRITE pond v${number}`)).result).to.match(/^COMPLETE/v);
			expect((await client.query('READ pond')).rows).to.deep.equal([`v${number}`]);
		}
	});

	it('reads the latest state through another host', async () => {
		const writer = open(0, 'latest');
		const reader = open(2, 'latest');
		for (let number = 0; number < 10; number++) {
			await writer.query(`WRITE crew v${number}`);
			expect((await reader.query('READ crew')).rows).to.deep.equal([`v${number}`]);
		}
	});

	it('serves reads that accept older data from replicas', async () => {
		const [primary] = deployment.instances;
		const client = open(1, 'old');
		await client.query('READ pond');
		const before = primary?.executedStatements().length ?? 0;
		for (let number = 0; number < 10; number++) {
			expect((await client.query('READ pond')).result).to.match(/^COMPLETE/v);
		}

		expect((primary?.executedStatements().length ?? 0) - before).to.be.at.most(1);
	});

	it('commits and rolls back transactions as a whole', async () => {
		const client = open(0, 'latest');
		expect((await client.query('BEGIN')).state).to.equal('T');
		await client.query('WRITE a 1');
		await client.query('WRITE b 1');
		expect(await client.query('COMMIT')).to.include({result: 'COMPLETE i-a', state: 'I'});
		await client.query('BEGIN');
		await client.query('WRITE a 2');
		expect(await client.query('ROLLBACK')).to.include({state: 'I'});
		expect((await client.query('READ a')).rows).to.deep.equal(['1']);
		expect((await client.query('READ b')).rows).to.deep.equal(['1']);
	});

	it('keeps prepared statements of sessions apart, also when their names collide', async () => {
		const first = open(0, 'latest');
		const second = open(0, 'latest');
		await first.query('PREPARE s WRITE q1');
		await second.query('PREPARE s READ q2');
		expect((await first.query('EXECUTE s kept yes')).result).to.match(/^COMPLETE/v);
		expect((await second.query('EXECUTE s kept')).rows).to.deep.equal(['yes']);
		expect((await second.query('EXECUTE t kept')).result).to.equal('ERROR NOSTMT');
	});

	const malformed = [
		{name: 'an unknown kind of message', bytes: 'HELLO there\r\n', result: 'ERROR MALFORMED'},
		{name: 'a statement that cannot be read', bytes: 'QUERY 1 DELETE all\r\n', result: 'ERROR MALFORMED'},
		{name: 'an end without a beginning', bytes: 'QUERY 1 COMMIT\r\n', result: 'ERROR MALFORMED'},
		{name: 'an empty line', bytes: '\r\n', result: 'ERROR MALFORMED'},
	];
	for (const {name, bytes, result} of malformed) {
		it(`answers ${name} and goes on`, async () => {
			const client = open(0, 'latest');
			await client.started;
			expect(await client.send(bytes)).to.include({result, state: 'I'});
			expect((await client.query('READ a')).result).to.match(/^COMPLETE/v);
		});
	}

	it('ends a session whose message is too long, and no other', async () => {
		const other = open(0, 'latest');
		const client = open(0, 'latest');
		await client.started;
		expect((await client.send('x'.repeat(1_100_000))).result).to.equal('ERROR TOOBIG');
		expect((await other.query('READ a')).result).to.match(/^COMPLETE/v);
	});

	it('says "unknown" when the answer to a write is lost, and runs it once', async () => {
		const client = open(0, 'latest');
		const [primary] = deployment.instances;
		primary?.loseAnswers(1);
		expect((await client.query('WRITE lost once')).result).to.equal('ERROR UNKNOWN');
		expect(primary?.executedStatements().filter(({text}) => text === 'WRITE lost once')).to.have.length(1);
	});

	it('refuses what cannot be proven while the store is away, and goes on after', async () => {
		const client = open(0, 'latest');
		deployment.store.setMode('silent');
		expect((await client.query('WRITE during outage')).result).to.match(/^COMPLETE/v);
		await sleep(5200);
		expect((await client.query('READ during')).result).to.equal('ERROR BUSY');
		deployment.store.setMode('ready');
		expect(await repeatUntilDone(client, 'READ during', 3000)).to.be.below(3000);
	});

	it('goes on when the store has forgotten its history', async () => {
		deployment.store.compact();
		await sleep(1500);
		expect((await open(0, 'latest').query('READ a')).result).to.match(/^COMPLETE/v);
	});

	it('stops a withdrawn key on open sessions within the limit', async () => {
		const withdrawn = open(1, 'old', 'other');
		await withdrawn.started;
		deployment.configure({keys: ['good']});
		await sleep(3000);
		expect((await withdrawn.query('READ a')).result).to.equal('ERROR BADKEY');
		expect((await open(1, 'old').query('READ a')).result).to.match(/^COMPLETE/v);
	});

	it('replaces a primary that went dark, once, and loses no write that replicas had', async () => {
		const clients = [0, 1, 2].map(host => open(host, 'latest'));
		await clients[0]?.query('WRITE kept before');
		await sleep(3 * lag);
		deployment.instances[0]?.stopAnswering();
		const gaps = await Promise.all(clients.map(async (client, index) => repeatUntilDone(client, `WRITE after${index} yes`, 10_000)));
		expect(Math.max(...gaps)).to.be.below(writeGap);
		expect((await clients[1]?.query('READ kept'))?.rows).to.deep.equal(['before']);
		expect(deployment.promotions()).to.have.length(1);
	});

	it('tells instances the workspace and never a key', () => {
		const callers = new Set(deployment.instances.flatMap(instance => instance.sessionWorkspaces()));
		expect([...callers]).to.include('upper').and.not.include('good').and.not.include('other');
		expect(deployment.hosts.map(host => host.output()).join('')).to.not.match(/\b(?:good|other)\b/v);
	});

	it('cuts no request when a host stops', async () => {
		const client = open(2, 'latest');
		await client.started;
		deployment.hosts[2]?.process.kill('SIGTERM');
		const unanswered: string[] = [];
		let answered = 0;
		while (!client.isClosed()) {
			const text = `READ kept${answered}`;
			const {state} = await client.query(text);
			if (state === '') {
				unanswered.push(text);
			} else {
				answered++;
			}
		}

		const ran = deployment.instances.flatMap(instance => instance.executedStatements().map(({text}) => text));
		expect(unanswered.filter(text => ran.some(other => other.endsWith(text)))).to.deep.equal([]);
		expect(answered).to.be.above(10);
	});
});
