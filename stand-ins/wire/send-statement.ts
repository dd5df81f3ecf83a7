import {openWireClient} from './open-wire-client.ts';

type Options = {
	/** Port of the host. */
	readonly port: number;
	readonly database: string;
	readonly text: string;
};

/** Sends a statement on a connection of its own; returns the answer to it, or that to the start of the session if there is none. */
export async function sendStatement({port, database, text}: Options): Promise<{readonly result: string; readonly rows: readonly string[]}> {
	const client = openWireClient(port, {database, key: 'good'});
	const {state, result} = await client.started;
	const answer = state === '' ? {result, rows: []} : await client.query(text);
	client.close();
	return answer;
}
