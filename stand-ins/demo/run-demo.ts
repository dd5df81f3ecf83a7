import {createHash, randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {resultCodes} from '@sapphirefall/decisions';
import type {ChangeRequest, ExecuteResponse} from '@sapphirefall/wire';
import type {Cluster} from '../cluster/cluster.ts';
import {createStatement} from '../cluster/create-statement.ts';
import {findResultCode} from '../cluster/find-result-code.ts';
import {listRows} from '../cluster/list-rows.ts';
import {startCluster} from '../cluster/start-cluster.ts';

type Call = Parameters<ReturnType<Cluster['caller']>['execute']>[0];

const key = 'demo-key-of-the-upper-ponds';

/** Time limit within which every host must refuse a withdrawn key. */
const revocationLimitMs = 5000;

/** Time limit for a write that waits for the failover of a killed primary. */
const failoverLimitMs = 5000;

/** Runs the demo, a sequence of checked requests and changes, against a new cluster. Resolves to the exit code. */
export async function runDemo(): Promise<number> {
	const startedAt = performance.now();
	console.log('Starting a platform, three endpoint instances and three entry hosts');
	const cluster = await startCluster({
		zones: ['a', 'b', 'c'],
		hostsPerZone: 1,
		databases: ['pondbook'],
		zoneDelay: 3,
		zoneJitter: 0,
		zoneLoss: 0,
		host: {},
		endpoint: {lag: 20},
		seed: 1,
	});
	const runner = createDemoRunner(cluster);
	try {
		await runSteps(cluster, runner);
		const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
		console.log(`demo: ${runner.countSteps()} steps, all results right, ${seconds} s`);
		return resultCodes.done;
	} catch (error) {
		console.log(`demo: wrong result in "${runner.lastStep()}": ${(error as Error).message}`);
		return 1;
	} finally {
		await cluster.stop();
	}
}

/** Runs the steps of the demo, and prints each with its result code and latency. */
type DemoRunner = {
	readonly call: (title: string, host: string, call: Call) => Promise<ExecuteResponse>;
	readonly change: (title: string, change: ChangeRequest['change']) => Promise<number>;
	readonly print: (title: string, code: number, milliseconds: number) => void;
	readonly countSteps: () => number;
	readonly lastStep: () => string;
};

function createDemoRunner(cluster: Cluster): DemoRunner {
	let stepCount = 0;
	let lastTitle = '';
	const print = (title: string, code: number, milliseconds: number) => {
		stepCount++;
		console.log(`${milliseconds.toFixed(1).padStart(9)} ms  code ${String(code).padStart(2)}  ${title}`);
	};

	return {
		async call(title, host, call) {
			lastTitle = title;
			const sentAt = performance.now();
			const response = await cluster.caller(host, key).execute(call);
			print(title, findResultCode(response), performance.now() - sentAt);
			return response;
		},
		async change(title, change) {
			lastTitle = title;
			const sentAt = performance.now();
			const {code} = await cluster.operator('host-a1').change({changeId: randomUUID(), change});
			print(title, code, performance.now() - sentAt);
			return code;
		},
		print,
		countSteps: () => stepCount,
		lastStep: () => lastTitle,
	};
}

async function runSteps(cluster: Cluster, runner: DemoRunner): Promise<void> {
	await configure(runner);
	await waitForConfiguration(cluster, 4);
	const session = await bookCrew(runner);
	await transferCredits(runner);
	await readReports(runner, session);
	await replacePrimary(cluster, {runner, session});
	await withdrawKey(cluster, runner);
}

async function configure(runner: DemoRunner): Promise<void> {
	expect(await runner.change('Operator creates the workspace "upper"', {
		case: 'setWorkspace',
		value: {
			$typeName: 'sapphirefall.v1.SetWorkspace', workspace: 'upper', rate: 3000, burst: 3000, databases: ['pondbook'],
		},
	})).to.equal(resultCodes.done);
	expect(await runner.change('Operator gives the workspace a key', {
		case: 'addKey',
		value: {
			$typeName: 'sapphirefall.v1.AddKey', workspace: 'upper', keyId: 'upper-1', digest: createHash('sha256').update(key).digest('hex'),
		},
	})).to.equal(resultCodes.done);
	expect(await runner.change('Operator sets season reports to within 10 s', {
		case: 'setFreshness',
		value: {$typeName: 'sapphirefall.v1.SetFreshness', kind: 'season-report', freshness: 'within 10s'},
	})).to.equal(resultCodes.done);
	expect(await runner.change('Operator gives an exception without a reason and is refused', {
		case: 'setException',
		value: {
			$typeName: 'sapphirefall.v1.SetException', workspace: 'upper', kind: 'season-report', freshness: 'latest', reason: '',
		},
	})).to.equal(resultCodes.changeInvalid);
	expect(await runner.change('Operator gives one for an unknown kind of read and is refused', {
		case: 'setException',
		value: {
			$typeName: 'sapphirefall.v1.SetException',
			workspace: 'upper',
			kind: 'audit',
			freshness: 'latest',
			reason: 'the auditors compare books with the bank',
		},
	})).to.equal(resultCodes.nameUnknown);
	expect(await runner.change('Operator names the kind of read first', {
		case: 'setFreshness',
		value: {$typeName: 'sapphirefall.v1.SetFreshness', kind: 'audit', freshness: 'within 1m'},
	})).to.equal(resultCodes.done);
}

async function waitForConfiguration(cluster: Cluster, version: number): Promise<void> {
	for (const host of cluster.hosts) {
		let known = 0;
		while (known < version) {
			await sleep(20); // eslint-disable-line no-await-in-loop
			({configVersion: known} = await cluster.operator(host).status({})); // eslint-disable-line no-await-in-loop
		}
	}
}

async function bookCrew(runner: DemoRunner): Promise<string> {
	const tables = await runner.call('Tables are created in one transaction', 'host-a1', {
		database: 'pondbook',
		statements: [
			createStatement('CREATE TABLE booking (id INTEGER PRIMARY KEY, pond TEXT, crew TEXT)'),
			createStatement('CREATE TABLE household (name TEXT PRIMARY KEY, credits INTEGER NOT NULL)'),
			createStatement('INSERT INTO household VALUES (?, ?), (?, ?)', ['Alder', 10, 'Birch', 0]),
		],
		kind: {case: 'write', value: {idempotencyKey: 'tables', repeatable: false}},
	});
	expect(findResultCode(tables)).to.equal(resultCodes.done);
	const booked = await runner.call('Inspector books a puddling crew', 'host-a1', {
		database: 'pondbook',
		statements: [createStatement('INSERT INTO booking (pond, crew) VALUES (?, ?)', ['North Hollow', 'Dawn crew'])],
		kind: {case: 'write', value: {idempotencyKey: 'booking-1', repeatable: false}},
	});
	expect(findResultCode(booked)).to.equal(resultCodes.done);
	const session = booked.answer.case === 'done' ? booked.answer.value.session : '';
	const seen = await runner.call('Inspector reads the booking in session through a host in another zone', 'host-b1', {
		database: 'pondbook',
		session,
		statements: [createStatement('SELECT pond, crew FROM booking')],
		kind: {case: 'read', value: {freshness: 'session'}},
	});
	expect(listRows(seen)).to.deep.equal([['North Hollow', 'Dawn crew']]);
	return session;
}

async function transferCredits(runner: DemoRunner): Promise<void> {
	const transfer: Call = {
		database: 'pondbook',
		statements: [
			createStatement('UPDATE household SET credits = credits - ? WHERE name = ?', [4, 'Alder']),
			createStatement('UPDATE household SET credits = credits + ? WHERE name = ?', [4, 'Birch']),
		],
		kind: {case: 'write', value: {idempotencyKey: 'transfer-1', repeatable: false}},
	};
	expect(findResultCode(await runner.call('Treasurer transfers credits with an idempotency key', 'host-a1', transfer))).to.equal(resultCodes.done);
	const repeated = await runner.call('Treasurer repeats the transfer through another host', 'host-c1', transfer);
	expect(repeated.answer.case === 'done' && repeated.answer.value.replayed).to.equal(true);
	const reused = await runner.call('The same key with another amount is refused', 'host-b1', {
		...transfer, statements: [createStatement('UPDATE household SET credits = credits + ?', [100])],
	});
	expect(findResultCode(reused)).to.equal(resultCodes.idempotencyKeyReused);
	const balance = await runner.call('Treasurer reads the latest balances', 'host-b1', {
		database: 'pondbook',
		statements: [createStatement('SELECT credits FROM household ORDER BY name')],
		kind: {case: 'read', value: {freshness: 'latest'}},
	});
	expect(listRows(balance)).to.deep.equal([[6n], [4n]]);
}

async function readReports(runner: DemoRunner, session: string): Promise<void> {
	await sleep(300);
	const report = await runner.call('Member reads a season report within 10 s, from a replica', 'host-c1', {
		database: 'pondbook',
		statements: [createStatement('SELECT count(*) FROM booking')],
		kind: {case: 'read', value: {kind: 'season-report'}},
	});
	expect(listRows(report)).to.deep.equal([[1n]]);
	expect(report.answer.case === 'done' && report.answer.value.instance).to.equal('pondbook-c');
	const forged = await runner.call('A forged session token is refused', 'host-c1', {
		database: 'pondbook',
		session: `${session}x`,
		statements: [createStatement('SELECT 1')],
		kind: {case: 'read', value: {freshness: 'session'}},
	});
	expect(findResultCode(forged)).to.equal(resultCodes.sessionInvalid);
}

async function replacePrimary(
	cluster: Cluster,
	{runner, session}: {readonly runner: DemoRunner; readonly session: string},
): Promise<void> {
	cluster.child('pondbook-a').signal('SIGKILL');
	const startedAt = performance.now();
	const booked = await runner.call('Inspector books while the primary is dead; it is replaced', 'host-b1', {
		database: 'pondbook',
		session,
		statements: [createStatement('INSERT INTO booking (pond, crew) VALUES (?, ?)', ['South Hollow', 'Late crew'])],
		kind: {case: 'write', value: {idempotencyKey: 'booking-2', repeatable: false}},
		deadlineMs: failoverLimitMs,
	});
	expect(findResultCode(booked)).to.equal(resultCodes.done);
	expect(performance.now() - startedAt).to.be.lessThan(failoverLimitMs);
	const seen = await runner.call('Nothing was lost, nothing doubled', 'host-c1', {
		database: 'pondbook',
		statements: [
			createStatement('SELECT (SELECT count(*) FROM booking), (SELECT sum(credits) FROM household)'),
		],
		kind: {case: 'read', value: {freshness: 'latest'}},
	});
	expect(listRows(seen)).to.deep.equal([[2n, 10n]]);
}

async function withdrawKey(cluster: Cluster, runner: DemoRunner): Promise<void> {
	expect(await runner.change('Operator withdraws the key', {
		case: 'withdrawKey', value: {$typeName: 'sapphirefall.v1.WithdrawKey', keyId: 'upper-1'},
	})).to.equal(resultCodes.done);
	const withdrawnAt = performance.now();
	for (const host of cluster.hosts) {
		const call: Call = {
			database: 'pondbook',
			statements: [createStatement('SELECT 1')],
			kind: {case: 'read', value: {freshness: 'latest'}},
		};
		let code: number;
		do {
			await sleep(10); // eslint-disable-line no-await-in-loop
			code = findResultCode(await cluster.caller(host, key).execute(call)); // eslint-disable-line no-await-in-loop
		} while (code !== resultCodes.keyUnknown && performance.now() - withdrawnAt < revocationLimitMs);

		expect(code).to.equal(resultCodes.keyUnknown);
	}

	runner.print('The key is refused on every host', resultCodes.keyUnknown, performance.now() - withdrawnAt);
}
