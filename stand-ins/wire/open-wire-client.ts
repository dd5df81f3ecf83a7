import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {connect} from 'node:net';
import type {WireAnswer} from './wire-answer.ts';
import type {WireClient} from './wire-client.ts';

const unanswered: WireAnswer = {
	rows: [], result: '', reason: '', state: '',
};

/** Opens a session with a host over the wire protocol. */
export function openWireClient(port: number, {database, key}: {readonly database: string; readonly key: string}): WireClient {
	const socket = connect({host: '127.0.0.1', port, noDelay: true});
	const pending: Array<(answer: WireAnswer) => void> = [];
	let partialLine = '';
	let rows: string[] = [];
	let result = '';
	let reason = '';
	let isClosed = false;

	const handleLine = (line: string) => {
		const [command = '', argument = '', ...words] = line.split(' ');
		if (command === 'DATAROW') {
			rows.push(argument);
		} else if (command === 'READY') {
			pending.shift()?.({
				rows, result, reason, state: argument,
			});
			rows = [];
			result = '';
			reason = '';
		} else {
			result = `${command} ${argument}`;
			reason = words.join(' ');
		}
	};

	const waitForAnswer = async () => new Promise<WireAnswer>(resolve => {
		if (isClosed) {
			resolve(unanswered);
		} else {
			pending.push(resolve);
		}
	});

	const sendTogether = (messages: readonly string[]) => {
		const answers = messages.map(async () => waitForAnswer());
		if (!isClosed) {
			socket.write(messages.join(''));
		}

		return answers;
	};

	const send = async (bytes: string) => {
		const [answer] = await Promise.all(sendTogether([bytes]));
		return answer ?? unanswered;
	};

	socket.on('data', (chunk: Buffer) => {
		const lines = (partialLine + chunk.toString('latin1')).split('\r\n');
		partialLine = lines.pop() ?? '';
		for (const line of lines) {
			handleLine(line);
		}
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		isClosed = true;
		for (const resolve of pending.splice(0)) {
			resolve({
				rows, result, reason, state: '',
			});
		}
	});
	return {
		started: send(`START ${database} ${key}\r\n`),
		query: async text => send(`QUERY ${randomUUID()} ${text}\r\n`),
		send,
		sendTogether,
		pauseReading() {
			socket.pause();
		},
		resumeReading() {
			socket.resume();
		},
		isClosed: () => isClosed,
		close() {
			socket.destroy();
		},
	};
}
