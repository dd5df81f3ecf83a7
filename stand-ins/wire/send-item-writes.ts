/* eslint-disable no-await-in-loop -- statements of a session run in sequence */
import {openWireClient} from './open-wire-client.ts';

type Options = {
	/** Port of the host. */
	readonly port: number;
	/** Number of items to write. */
	readonly count: number;
};

/** Writes items one after another in one session, on the database with the latest state; returns those whose writes were acknowledged. */
export async function sendItemWrites({port, count}: Options): Promise<readonly string[]> {
	const client = openWireClient(port, {database: 'latest', key: 'good'});
	await client.started;
	const acknowledged: string[] = [];
	for (let number = 0; number < count; number++) {
		const {result} = await client.query(`WRITE item${number} value`);
		if (result.startsWith('COMPLETE')) {
			acknowledged.push(`item${number}`);
		}
	}

	client.close();
	return acknowledged;
}
