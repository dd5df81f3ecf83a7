import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.mjs';
import {openSession} from '../lib/client.mjs';
import {findKey, startDeployment} from '../lib/deployment.mjs';

/** Clients that have a transaction open while the primary is replaced. */
const clientCount = 18;

/** Milliseconds between two statements of a transaction. */
const pauseMs = 450;

/** Milliseconds after the beginning of the transactions. */
const times = {
	configuration: 300, release: 1000, firstCommit: 2200, lastCommit: 4400,
};

/** Milliseconds after its order of the promotion at which the process of a host is killed, and after which it starts again. */
const killAfterMs = 300;
const restartAfterMs = 1000;

const findRoutes = service => [{database: 'crew', service, kind: 'primary'}, {database: 'ledger', service: 'beta', kind: 'primary'}];

await runCase(import.meta.dirname, async run => {
	const {record, hasTrouble} = run;
	let hasKilled = false;
	/** What took effect at an instance that did not lead any more: milliseconds since the promotion, by the id of the commit. */
	const lateCommits = new Map();
	const {groups: [alpha], fleet, configure} = await startDeployment({
		run,
		services: ['alpha', 'beta'],
		routes: findRoutes('alpha'),
		workMs: 11,
		observe: {
			onCommit(instance, entry, {leader, promotions}) {
				const sinceMs = instance === leader ? undefined : entry.at - promotions.at(-1).at;
				const late = sinceMs === undefined ? '' : `, ${sinceMs.toFixed(0)} ms after the promotion of ${leader.id} took effect`;
				record(`run: COMMIT ${entry.statement} takes effect at ${instance.id} as ${entry.term}.${entry.number}${late}`);
				if (sinceMs !== undefined) {
					lateCommits.set(entry.statement, sinceMs);
				}
			},
			async onPromote({holder}) {
				if (!hasTrouble || hasKilled) {
					return;
				}

				hasKilled = true;
				await sleep(killAfterMs);
				const host = fleet.hosts.find(({name}) => name === holder);
				host.process.kill('SIGKILL');
				record(`platform: the process of ${holder}, which ordered the promotion, is killed`);
				await sleep(restartAfterMs);
				fleet.restart(host);
			},
		},
	});

	const startedAt = performance.now();
	const waitUntil = async at => sleep(Math.max(0, startedAt + at - performance.now()));
	const commits = [];
	const runClient = async index => {
		const host = fleet.hosts[index % fleet.hosts.length];
		const session = await openSession(host.port, {database: 'crew', key: findKey(index)});
		const commitAt = times.firstCommit + ((times.lastCommit - times.firstCommit) * index / clientCount);
		const query = async text => {
			const answer = await session.query(text);
			record(`client ${index} at ${host.name}: ${answer.id} ${text} -> ${answer.result}`);
			return answer;
		};

		await query('BEGIN');
		let last = await query(`WRITE item${index} value${index}`);
		while (last.result.startsWith('COMPLETE') && performance.now() - startedAt < commitAt - pauseMs) {
			await sleep(pauseMs); // eslint-disable-line no-await-in-loop -- statements run one after another
			last = await query(`READ item${index}`); // eslint-disable-line no-await-in-loop -- see above
		}

		if (last.result.startsWith('COMPLETE')) {
			await waitUntil(commitAt);
			commits.push({index, ...await query('COMMIT')});
		}

		session.close();
	};

	const clients = Array.from({length: clientCount}, async (_, index) => runClient(index));
	await waitUntil(times.configuration);
	configure(findRoutes('beta'));
	await waitUntil(times.release);
	if (hasTrouble) {
		record('instance: the primary i-alpha1 is to be replaced; it reports that it drains');
		alpha.drain(alpha.instances[0]);
	}

	await Promise.all(clients);
	await sleep(3000);
	for (const {at, id, previous} of alpha.promotions) {
		record(`platform: the promotion of ${id} took effect ${(at - startedAt).toFixed(0)} ms after the beginning; ${previous} led before`);
	}

	const acknowledged = commits.filter(({result}) => result.startsWith('COMPLETE'));
	record(`clients: ${commits.length} sent COMMIT, ${acknowledged.length} were answered with success`);
	const kept = new Set(alpha.leader().log.map(({statement}) => statement));
	return acknowledged
		.filter(({id}) => lateCommits.has(id))
		.map(({id, index}) => `ONE: COMMIT ${id} of client ${index} was committed at the old primary ${lateCommits.get(id).toFixed(0)} ms after the promotion had taken effect, and acknowledged${kept.has(id) ? '' : '; the present primary does not hold it'}`);
});
