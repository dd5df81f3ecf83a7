import {runCase} from '../lib/case.mjs';
import {openSession} from '../lib/client.mjs';
import {findKey, startDeployment} from '../lib/deployment.mjs';

await runCase(import.meta.dirname, async run => {
	const {record, hasTrouble} = run;
	/** Values of the instance's connection on which each statement ran, by the statement's id. */
	const valuesById = new Map();
	const {fleet} = await startDeployment({
		run,
		services: ['alpha'],
		routes: [{database: 'crew', service: 'alpha', kind: 'primary'}],
		workMs: 11,
		observe: {
			onRun(instance, {id, text, values}) {
				valuesById.set(id, values);
				record(`run: ${id} ${text} at ${instance.id}, on a connection with the values ${JSON.stringify([...values])}`);
			},
		},
	});

	const name = hasTrouble ? '__proto__' : 'time_zone';
	const broken = [];
	for (const [index, host] of fleet.hosts.entries()) {
		const session = await openSession(host.port, {database: 'crew', key: findKey(index)}); // eslint-disable-line no-await-in-loop -- one client after another
		const query = async text => {
			const answer = await session.query(text);
			record(`client ${index} at ${host.name}: ${answer.id} ${text} -> ${answer.rows.join(',')} ${answer.result}`);
			return answer;
		};

		const set = await query(`SET ${name} value${index}`); // eslint-disable-line no-await-in-loop -- see above
		const write = await query(`WRITE item${index} data${index}`); // eslint-disable-line no-await-in-loop -- see above
		session.close();
		const values = valuesById.get(write.id);
		if (set.result.startsWith('COMPLETE') && values !== undefined && values.get(name) !== `value${index}`) {
			broken.push(`PINNED: ${write.id} of client ${index} ran where the value ${name} is ${values.get(name) ?? 'not set'}, though SET ${name} value${index} was acknowledged to the client`);
		}
	}

	return broken;
});
