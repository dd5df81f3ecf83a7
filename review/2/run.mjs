import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {openSession} from '../lib/client.mjs';
import {findKey, startDeployment} from '../lib/deployment.mjs';

/** Clients; two thirds of them read their own writes, the others use the primary. */
const clientCount = 36;
const ledgerCount = 24;

/** Milliseconds between two statements of a client. */
const pauseMs = 60;

/** Milliseconds after the clients begin. */
const times = {entry: 2000, end: 22_000};

/** Milliseconds after which the platform starts a process again that has ended. */
const restartMs = 1000;

/** By the rule, on a tenth of the machines (two at least) processes end by themselves three times. */
const limit = {hosts: 2, ends: 3};

/* eslint-disable camelcase -- names of the pages */
/** Entry of another writer, without `version`, `warmup_ms`, `seq` and `born`. */
const foreignEntry = {
	backend: 'alpha', address: '127.0.0.1:84650', zone: 'upland-barn', capacity: 5, state: 'ready', db_role: 'replica',
};
/* eslint-enable camelcase */

await runCase(import.meta.dirname, async run => {
	const {record, hasTrouble} = run;
	/** How often the process of each host ended by itself. */
	const ends = new Map();
	let isOver = false;
	const {store, fleet} = await startDeployment({
		run,
		services: ['alpha'],
		routes: [
			{database: 'crew', service: 'alpha', kind: 'primary'},
			{
				database: 'ledger', service: 'alpha', kind: 'read_your_writes', maxStalenessMs: 2500,
			},
		],
		workMs: 33,
		observe: {
			onEnded(host, {code, signal}) {
				ends.set(host.name, (ends.get(host.name) ?? 0) + 1);
				const error = fleet.readLog(host).split('\n').findLast(line => line.includes('Error')) ?? '';
				record(`${host.name}: the process ended by itself with ${signal ?? `exit code ${code}`}: ${error}`);
				setTimeout(() => {
					if (!isOver) {
						fleet.restart(host);
					}
				}, restartMs);
			},
		},
	});

	const startedAt = performance.now();
	const counts = {done: 0, failed: 0, unanswered: 0};
	const runClient = async index => {
		const host = fleet.hosts[index % fleet.hosts.length];
		const database = index < ledgerCount ? 'ledger' : 'crew';
		let session;
		for (let number = 0; performance.now() - startedAt < times.end; number++) {
			await sleep(pauseMs); // eslint-disable-line no-await-in-loop -- statements run one after another
			if (session === undefined || session.isClosed()) {
				session = await openSession(host.port, {database, key: findKey(index)}); // eslint-disable-line no-await-in-loop -- see above
				continue;
			}

			const answer = await session.query(number % 8 === 0 ? `WRITE item${index} value${number}` : `READ item${index}`); // eslint-disable-line no-await-in-loop -- see above
			if (answer.result === 'CLOSED') {
				counts.unanswered++;
				record(`client ${index} at ${host.name}: ${answer.id} ${answer.text} -> the connection ended without an answer`);
			} else {
				counts[answer.result.startsWith('COMPLETE') ? 'done' : 'failed']++;
			}
		}

		session.close();
	};

	const clients = Array.from({length: clientCount}, async (_, index) => runClient(index));
	await sleep(times.entry);
	if (hasTrouble) {
		store.put('servers', 'other-1', foreignEntry);
		record(`platform: another writer's entry appears under servers/other-1: ${JSON.stringify(foreignEntry)}`);
	}

	await Promise.all(clients);
	isOver = true;
	record(`clients: ${counts.done} statements done, ${counts.failed} failed, ${counts.unanswered} without an answer`);
	for (const [name, count] of ends) {
		record(`${name}: the process ended by itself ${count} times`);
	}

	const repeated = [...ends].filter(([, count]) => count >= limit.ends);
	return repeated.length >= limit.hosts
		? [`Fault: on ${repeated.length} of ${fleet.hosts.length} machines processes ended by themselves three times or more: ${repeated.map(([name, count]) => `${name} ${count} times`).join(', ')}`]
		: [];
});
