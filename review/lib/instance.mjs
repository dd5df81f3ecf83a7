import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Milliseconds for which a new connection occupies a slot. */
const handshakeMs = 12;

/** Statements that may wait for a slot; more are answered with `BUSY`. */
const maxQueue = 40;

/** Compares two positions of a log. */
const comparePositions = (a, b) => (a.term - b.term) || (a.number - b.number);

/**
 * Starts a stand-in of an instance, as the pages describe one, on a free port of the loopback address.
 *
 * @param options.onArrive Called with each statement of a client when it arrives.
 * @param options.onRun Called with each statement of a client when it runs.
 * @param options.onCommit Called with each commit that writes, at the moment at which it takes effect.
 */
export async function startInstance({
	id, service, zone, role, slots, maxConnections, workMs, onArrive = () => undefined, onRun = () => undefined, onCommit = () => undefined,
}) {
	const sockets = new Set();
	const slotWaiters = [];
	let freeSlots = slots;
	let signatures = 0;
	let connections = 0;
	const self = {
		id, service, zone, slots, role, term: 1, log: [], isDark: false, isClosed: false, workMs, seq: 0,
	};

	const position = () => {
		const last = self.log.at(-1);
		return last === undefined ? {term: 1, number: 0} : {term: last.term, number: last.number};
	};

	const writePosition = () => `${position().term}.${position().number}`;

	const takeSlot = async () => {
		if (freeSlots > 0) {
			freeSlots--;
			return true;
		}

		if (slotWaiters.length >= maxQueue) {
			return false;
		}

		return new Promise(resolve => {
			slotWaiters.push(() => {
				resolve(true);
			});
		});
	};

	const freeSlot = () => {
		const next = slotWaiters.shift();
		if (next === undefined) {
			freeSlots++;
		} else {
			next();
		}
	};

	/** Occupies a slot for the time that a piece of work takes; false if too much waits already. */
	const work = async milliseconds => {
		if (!await takeSlot()) {
			return false;
		}

		await sleep(milliseconds);
		freeSlot();
		return true;
	};

	const commit = (writes, statement) => {
		const entry = {
			term: self.term, number: position().number + 1, writes, statement, at: performance.now(),
		};
		self.log.push(entry);
		onCommit(self, entry);
	};

	const sign = () => {
		signatures++;
		return `${id}.${signatures.toString(16)}`;
	};

	const find = (connection, item) => [...self.log.flatMap(({writes}) => writes), ...connection.writes].findLast(([name]) => name === item)?.[1] ?? 'none';

	/** Whether a plain transaction is open here though this instance does not lead any more. */
	const hasLostLead = connection => connection.state === 'T' && !connection.isReadOnly && self.role !== 'primary';

	const fail = (connection, code) => {
		connection.state = connection.state === 'I' ? 'I' : 'E';
		return [`ERROR ${code} ${id}`];
	};

	const end = connection => {
		connection.state = 'I';
		connection.writes = [];
		connection.isReadOnly = false;
	};

	const status = () => [`DATAROW ${self.role} ${self.term} ${writePosition()} 0 0 ${slots - freeSlots} ${connections}`, 'COMPLETE -'];

	const runStatement = async (connection, queryId, text) => {
		const [word, first = '', second = '', ...rest] = text.split(' ');
		if (word === 'AFTER') {
			const [term, number] = first.split('.').map(Number);
			if (comparePositions(position(), {term, number}) < 0) {
				return fail(connection, 'LAGGING');
			}

			return runStatement(connection, queryId, text.split(' ').slice(2).join(' '));
		}

		if (word === 'EXECUTE') {
			const prepared = connection.prepared.get(first);
			return prepared === undefined ? fail(connection, 'NOSTMT') : runStatement(connection, queryId, [prepared, second, ...rest].join(' '));
		}

		if (connection.state === 'E' && word !== 'COMMIT' && word !== 'ROLLBACK') {
			return [`ERROR MALFORMED ${id}`];
		}

		switch (word) {
			case 'READ': {
				if (hasLostLead(connection)) {
					return fail(connection, 'READONLY');
				}

				if (!await work(self.workMs)) {
					return fail(connection, 'BUSY');
				}

				onRun(self, {id: queryId, text, values: new Map(connection.values)});
				return [`DATAROW ${find(connection, first)}`, `COMPLETE ${sign()}`];
			}

			case 'WRITE': {
				if (self.role !== 'primary' || connection.isReadOnly) {
					return fail(connection, 'READONLY');
				}

				if (!await work(self.workMs)) {
					return fail(connection, 'BUSY');
				}

				if (self.role !== 'primary') {
					return fail(connection, 'READONLY');
				}

				onRun(self, {id: queryId, text, values: new Map(connection.values)});
				if (connection.state === 'T') {
					connection.writes.push([first, second]);
				} else {
					commit([[first, second]], queryId);
				}

				return [`COMPLETE ${sign()}`];
			}

			case 'BEGIN': {
				if (first !== 'READ' && self.role !== 'primary') {
					return fail(connection, 'READONLY');
				}

				connection.state = 'T';
				connection.isReadOnly = first === 'READ';
				return ['COMPLETE -'];
			}

			case 'COMMIT': {
				if (connection.state === 'E') {
					end(connection);
					return [`ERROR ABORTED ${id}`];
				}

				if (connection.writes.length > 0 && !await work(self.workMs)) {
					return fail(connection, 'BUSY');
				}

				if (connection.writes.length > 0 && self.role !== 'primary') {
					return fail(connection, 'READONLY');
				}

				onRun(self, {id: queryId, text, values: new Map(connection.values)});
				if (connection.writes.length > 0) {
					commit(connection.writes, queryId);
				}

				end(connection);
				return [`COMPLETE ${sign()}`];
			}

			case 'ROLLBACK': {
				end(connection);
				return ['COMPLETE -'];
			}

			case 'SET': {
				connection.values.set(first, second);
				return ['COMPLETE -'];
			}

			case 'PREPARE': {
				connection.prepared.set(first, second);
				return ['COMPLETE -'];
			}

			case 'RESET': {
				connection.values.clear();
				connection.prepared.clear();
				return ['COMPLETE -'];
			}

			case 'STATUS': {
				return await work(1) ? status() : [`ERROR BUSY ${id}`];
			}

			case 'STEPDOWN': {
				if (self.role === 'primary' && Number(first) > self.term) {
					self.stepDown();
				}

				return status();
			}

			default: {
				return [`ERROR MALFORMED ${id}`];
			}
		}
	};

	const serveLine = async (socket, connection, line) => {
		const [word, first = '', ...rest] = line.split(' ');
		if (word === 'START') {
			if (first !== service || (rest[1] !== undefined && rest[1] !== id)) {
				socket.end('ERROR MOVED other\r\n');
			} else if (connections > maxConnections) {
				socket.end(`ERROR MAXCONN ${id}\r\n`);
			} else {
				await work(handshakeMs);
				socket.write(`READY I ${writePosition()}\r\n`);
			}

			return;
		}

		if (word === 'TERMINATE') {
			socket.end();
			return;
		}

		if (first !== '-') {
			onArrive(self, {id: first, text: rest.join(' ')});
		}

		const lines = await runStatement(connection, first, rest.join(' '));
		if (!self.isDark && !socket.destroyed) {
			socket.write([...lines, `READY ${connection.state} ${writePosition()}`, ''].join('\r\n'));
		}
	};

	const server = createServer({noDelay: true}, socket => {
		const connection = {
			state: 'I', isReadOnly: false, writes: [], values: new Map(), prepared: new Map(),
		};
		let partial = '';
		let served = Promise.resolve();
		connections++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			connections--;
			sockets.delete(socket);
		});
		socket.on('data', chunk => {
			if (self.isDark) {
				return;
			}

			const lines = (partial + chunk.toString('latin1')).split('\r\n');
			partial = lines.pop();
			for (const line of lines) {
				const before = served;
				served = (async () => {
					await before;
					if (!self.isDark && !socket.destroyed) {
						await serveLine(socket, connection, line);
					}
				})();
			}
		});
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return Object.assign(self, {
		port: server.address().port,
		position,
		/** Goes dark, as after a crash: nothing is answered any more, and nothing tells that it is gone. */
		goDark() {
			self.isDark = true;
		},
		/** Comes back from a crash with its log; connections of before are reset. */
		comeBack() {
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}

			self.isDark = false;
		},
		/** Becomes a replica of the present primary; the group sets its log. */
		stepDown() {
			self.role = 'replica';
			self.onStepDown?.();
		},
		close() {
			self.isClosed = true;
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	});
}
