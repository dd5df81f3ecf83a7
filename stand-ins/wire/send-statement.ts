import {openWireClient} from './open-wire-client.ts';
import type {WireAnswer} from './wire-answer.ts';

type Options = {
	/** Port of the host. */
	readonly port: number;
	/** Defaults to `latest`. */
	readonly database?: string;
	/** Key of the caller. Defaults to `good`. */
	readonly key?: string;
	readonly text: string;
};

/** Sends a statement on a connection of its own; returns the answer to it, or that to the start of the session if there is none. */
export async function sendStatement({port, database = 'latest', key = 'good', text}: Options): Promise<WireAnswer> {
	const client = openWireClient(port, {database, key});
	const started = await client.started;
	const answer = started.state === '' ? started : await client.query(text);
	client.close();
	return answer;
}
