import {connect} from 'node:net';

let lastQuery = 0;

/**
 * Opens a session with a host.
 *
 * @returns The session. Each answer has the rows, the result (`COMPLETE` or `ERROR` with what follows, `CLOSED` if the
 * connection ended without one) and the state.
 */
export async function openSession(port, {database, key}) {
	const socket = connect({host: '127.0.0.1', port, noDelay: true});
	const pending = [];
	let partial = '';
	let rows = [];
	let result = '';
	let isClosed = false;
	const finish = answer => {
		pending.shift()?.({...answer, at: performance.now()});
		rows = [];
		result = '';
	};

	socket.on('data', chunk => {
		const lines = (partial + chunk.toString('latin1')).split('\r\n');
		partial = lines.pop();
		for (const line of lines) {
			const [word, first] = line.split(' ');
			if (word === 'DATAROW') {
				rows.push(line.slice('DATAROW '.length));
			} else if (word === 'READY') {
				finish({rows, result, state: first});
			} else {
				result = line;
			}
		}
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		isClosed = true;
		while (pending.length > 0) {
			finish({rows, result: result === '' ? 'CLOSED' : result, state: ''});
		}
	});
	const send = async bytes => new Promise(resolve => {
		if (isClosed) {
			resolve({
				rows: [], result: 'CLOSED', state: '', at: performance.now(),
			});
			return;
		}

		pending.push(resolve);
		socket.write(bytes, 'latin1');
	});

	const started = await send(`START ${database} ${key}\r\n`);
	return {
		started,
		socket,
		isClosed: () => isClosed,
		/** Sends a statement with a new id and waits for its answer. */
		async query(text) {
			lastQuery++;
			const id = `q${lastQuery.toString(16).padStart(8, '0')}`;
			const sentAt = performance.now();
			const answer = await send(`QUERY ${id} ${text}\r\n`);
			return {
				id, text, sentAt, ...answer,
			};
		},
		close() {
			socket.destroy();
		},
	};
}
