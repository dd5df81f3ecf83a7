/* eslint-disable no-await-in-loop -- statements of a session run one after another */
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib-2/run-case.mjs';
import {openWireClient} from '../lib-2/stand-ins.mjs';
import {startDeployment} from '../lib-2/start-deployment.mjs';

const name = 'audit';
const earlier = 'before';
const later = 'after';

/** The statements of a session: the value is set anew behind the last write of the transaction, or ahead of it. */
function createStatements(isSetBehind) {
	const write = 'WRITE item data';
	const set = `SET ${name} ${later}`;
	return [`SET ${name} ${earlier}`, 'BEGIN', ...isSetBehind ? [write, set] : [set, write], 'COMMIT'];
}

await runCase(async tools => {
	const {hasTrouble, record} = tools;
	const deployment = await startDeployment({
		hostCount: 3, lag: 20, workMs: 0,
	}, tools);
	await sleep(2000);
	const broken = [];
	for (const host of deployment.hosts) {
		const client = openWireClient(host.port, {database: 'latest', key: 'good'});
		await client.started;
		const ids = new Map();
		for (const [index, text] of createStatements(hasTrouble).entries()) {
			const id = `${host.name}-${index}`;
			const {result, state} = await client.send(`QUERY ${id} ${text}\r\n`);
			ids.set(id, text);
			record(`client of ${host.name}: ${id} ${text} -> ${result}, state ${state}`);
			if (!result.startsWith('COMPLETE')) {
				throw new Error(`${host.name} refused "${text}" on a calm deployment`);
			}
		}

		client.close();
		for (const instance of deployment.instances) {
			for (const {id, text, variables} of instance.executedStatements().filter(statement => ids.has(statement.id))) {
				const value = variables.get(name);
				record(`${instance.id} ran ${id} ${text} with ${name} = ${value}`);
				if (text === 'COMMIT' && value !== later) {
					broken.push(`${host.name}: ${instance.id} ran the COMMIT with ${name} = ${value}, though ${later} had been acknowledged`);
				}
			}
		}
	}

	return broken.length === 0 ? undefined : `PINNED: ${broken.join('; ')}`;
});
