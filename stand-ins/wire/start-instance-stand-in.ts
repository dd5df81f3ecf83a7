import type {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {InstanceStandIn} from './instance-stand-in.ts';
import type {LogEntry} from './log-entry.ts';

type Options = {
	readonly id: string;
	readonly group: string;
	readonly role: 'primary' | 'replica';
	/** Called with each commit of a primary. */
	readonly onCommit: (entry: LogEntry) => void;
};

/** What a connection holds. */
type Held = {
	state: 'I' | 'T' | 'E';
	isReadOnly: boolean;
	writes: Array<readonly [string, string]>;
	readonly values: Map<string, string>;
	readonly prepared: Map<string, string>;
};

/** Starts a stand-in of an endpoint instance on a free port of the loopback address. */
export async function startInstanceStandIn({id, group, role: firstRole, onCommit}: Options): Promise<InstanceStandIn> {
	const ran: Array<{readonly id: string; readonly text: string}> = [];
	const callers: string[] = [];
	const sockets = new Set<Socket>();
	let role = firstRole;
	let term = 1;
	let log: LogEntry[] = [];
	let isDark = false;
	let answersToLose = 0;

	const findPosition = () => {
		const last = log.at(-1);
		return last === undefined ? `${term}.0` : `${last.term}.${last.number}`;
	};

	const hasPosition = (position: string) => {
		const [wantedTerm = 0, wantedNumber = 0] = position.split('.').map(Number);
		const last = log.at(-1);
		return wantedNumber === 0 || (last !== undefined && (last.term > wantedTerm || (last.term === wantedTerm && last.number >= wantedNumber)));
	};

	const readItem = (item: string, held: Held) => [...log.flatMap(({writes}) => writes), ...held.writes].findLast(([name]) => name === item)?.[1] ?? '';

	const commit = (writes: LogEntry['writes']) => {
		const entry = {term, number: (log.at(-1)?.number ?? 0) + 1, writes};
		log.push(entry);
		onCommit(entry);
	};

	const run = (held: Held, text: string): readonly string[] => {
		const [word = '', first = '', second = ''] = text.split(' ');
		if (word === 'AFTER') {
			return hasPosition(first) ? run(held, text.split(' ').slice(2).join(' ')) : [`ERROR LAGGING ${id}`];
		}

		if (word === 'EXECUTE') {
			const access = held.prepared.get(first);
			return access === undefined ? ['ERROR NOSTMT no such name'] : run(held, `${access} ${text.split(' ').slice(2).join(' ')}`);
		}

		switch (word) {
			case 'READ': {
				return [`DATAROW ${readItem(first, held)}`, `COMPLETE ${id}`];
			}

			case 'WRITE': {
				if (role !== 'primary' || held.isReadOnly) {
					held.state = held.state === 'T' ? 'E' : held.state;
					return [`ERROR READONLY ${id}`];
				}

				if (held.state === 'T') {
					held.writes.push([first, second]);
				} else {
					commit([[first, second]]);
				}

				return [`COMPLETE ${id}`];
			}

			case 'BEGIN': {
				if (first !== 'READ' && role !== 'primary') {
					return [`ERROR READONLY ${id}`];
				}

				held.state = 'T';
				held.isReadOnly = first === 'READ';
				return ['COMPLETE -'];
			}

			case 'COMMIT':
			case 'ROLLBACK': {
				if (word === 'COMMIT' && held.writes.length > 0) {
					commit(held.writes);
				}

				held.state = 'I';
				held.isReadOnly = false;
				held.writes = [];
				return [word === 'COMMIT' ? `COMPLETE ${id}` : 'COMPLETE -'];
			}

			case 'SET': {
				held.values.set(first, second);
				return ['COMPLETE -'];
			}

			case 'PREPARE': {
				held.prepared.set(first, second);
				return ['COMPLETE -'];
			}

			case 'RESET': {
				held.values.clear();
				held.prepared.clear();
				return ['COMPLETE -'];
			}

			case 'STATUS':
			case 'STEPDOWN': {
				if (word === 'STEPDOWN' && Number(first) > term) {
					role = 'replica';
				}

				return [`DATAROW ${role} ${term} ${findPosition()} 0 0 0 ${sockets.size}`, 'COMPLETE -'];
			}

			default: {
				return ['ERROR MALFORMED what'];
			}
		}
	};

	const answer = (socket: Socket, held: Held, line: string) => {
		const [word = '', first = '', ...rest] = line.split(' ');
		if (word === 'START') {
			callers.push(rest[0] ?? '');
			const isMeant = first === group && rest[1] === id;
			socket.write(isMeant ? `READY I ${findPosition()}\r\n` : 'ERROR MOVED another\r\n');
			return;
		}

		if (first !== '-') {
			ran.push({id: first, text: rest.join(' ')});
		}

		const lines = run(held, rest.join(' '));
		if (first !== '-' && answersToLose > 0) {
			answersToLose--;
			socket.destroy();
			return;
		}

		socket.write([...lines, `READY ${held.state} ${findPosition()}`, ''].join('\r\n'));
	};

	const server = createServer(socket => {
		const held: Held = {
			state: 'I', isReadOnly: false, writes: [], values: new Map(), prepared: new Map(),
		};
		let rest = '';
		sockets.add(socket);
		socket.on('close', () => sockets.delete(socket));
		socket.on('error', () => undefined);
		socket.on('data', (piece: Buffer) => {
			const lines = (rest + piece.toString('latin1')).split('\r\n');
			rest = lines.pop() ?? '';
			for (const line of isDark ? [] : lines) {
				answer(socket, held, line);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		id,
		port: (server.address() as AddressInfo).port,
		role: () => role,
		term: () => term,
		log: () => log,
		executedStatements: () => ran,
		sessionWorkspaces: () => callers,
		appendEntry(entry) {
			log.push(entry);
		},
		promote(newTerm) {
			role = 'primary';
			term = newTerm;
		},
		follow(newTerm, newLog) {
			role = 'replica';
			term = newTerm;
			log = [...newLog];
		},
		stopAnswering() {
			isDark = true;
		},
		loseAnswers(count) {
			answersToLose = count;
		},
		close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}
