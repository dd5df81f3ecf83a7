import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {connect} from 'node:net';
import type {WireClient} from './wire-client.ts';

type Answer = Awaited<WireClient['started']>;

/** Opens a session of a caller at a host. */
export function openWireClient(port: number, {database, key}: {readonly database: string; readonly key: string}): WireClient {
	const socket = connect({host: '127.0.0.1', port, noDelay: true});
	const waiting: Array<(answer: Answer) => void> = [];
	let rest = '';
	let rows: string[] = [];
	let result = '';
	let isClosed = false;

	const take = (line: string) => {
		const [word = '', first = ''] = line.split(' ');
		if (word === 'DATAROW') {
			rows.push(first);
		} else if (word === 'READY') {
			waiting.shift()?.({rows, result, state: first});
			rows = [];
			result = '';
		} else {
			result = `${word} ${first}`;
		}
	};

	const send = async (bytes: string) => new Promise<Answer>(resolve => {
		if (isClosed) {
			resolve({rows: [], result: '', state: ''});
		} else {
			waiting.push(resolve);
			socket.write(bytes);
		}
	});

	socket.on('data', (piece: Buffer) => {
		const lines = (rest + piece.toString('latin1')).split('\r\n');
		rest = lines.pop() ?? '';
		for (const line of lines) {
			take(line);
		}
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		isClosed = true;
		for (const resolve of waiting.splice(0)) {
			resolve({rows, result, state: ''});
		}
	});
	return {
		started: send(`START ${database} ${key}\r\n`),
		query: async text => send(`QUERY ${randomUUID()} ${text}\r\n`),
		send,
		isClosed: () => isClosed,
		close() {
			socket.destroy();
		},
	};
}
