import type {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createInstanceLog} from './create-instance-log.ts';
import {createStatementExecutor} from './create-statement-executor.ts';
import type {InstanceConnectionState} from './instance-connection-state.ts';
import type {InstanceStandIn} from './instance-stand-in.ts';
import type {LogEntry} from './log-entry.ts';

type Options = {
	readonly id: string;
	readonly group: string;
	readonly role: 'primary' | 'replica';
	/** Milliseconds after which a received commit is applied. */
	readonly lag: number;
	/** Called for each commit while the instance is a primary. */
	readonly onCommit: (entry: LogEntry) => void;
	/** Called when the instance begins to lead or ceases to. */
	readonly onRole: () => void;
	/** Milliseconds that a read, write or commit takes. */
	readonly workMs: number;
	/** Resolves once a replica has received a commit, which is acknowledged only then; commits are acknowledged at once if it is left out. */
	readonly waitForReplica?: ((entry: LogEntry) => Promise<void>) | undefined;
};

/** Statements of clients that take time; the first word of the text, after `AFTER` and its position. */
const workPattern = /^(?:AFTER \S+ )?(?:READ|WRITE|EXECUTE|COMMIT)\b/v;

/** Starts a simulated instance on a free port of the loopback address. */
export async function startInstanceStandIn({
	id, group, role, lag, onCommit, onRole, workMs, waitForReplica,
}: Options): Promise<InstanceStandIn> {
	const executedStatements: Array<ReturnType<InstanceStandIn['executedStatements']>[number]> = [];
	const sessionWorkspaces: string[] = [];
	const sockets = new Set<Socket>();
	const log = createInstanceLog({
		role, lag, onCommit, onRole,
	});
	let isUnresponsive = false;
	let isCrashed = false;
	let isFrozen = false;
	let isStatusRefused = false;
	/** What is to be done when the instance no longer stands still, in the order of its arrival. */
	let delayed: Array<() => void> = [];
	const execute = createStatementExecutor({
		id, log, countConnections: () => sockets.size, isStatusRefused: () => isStatusRefused,
	});
	let remainingLostAnswers = 0;

	/** Answers a message; returns a promise if the answer has to wait for a replica. */
	const answer = (socket: Socket, connection: InstanceConnectionState, line: string): Promise<void> | undefined => {
		if (isCrashed) {
			return undefined;
		}

		if (isFrozen) {
			delayed.push(() => {
				void answer(socket, connection, line);
			});
			return undefined;
		}

		const [command = '', first = '', ...rest] = line.split(' ');
		if (command === 'START') {
			sessionWorkspaces.push(rest[0] ?? '');
			const isExpectedTarget = first === group && rest[1] === id;
			socket.write(isExpectedTarget ? `READY I ${log.position()}\r\n` : 'ERROR MOVED another\r\n');
			return undefined;
		}

		if (first !== '-') {
			executedStatements.push({
				id: first, text: rest.join(' '), variables: new Map(connection.variables), at: performance.now(),
			});
		}

		const newestBefore = log.entries().at(-1);
		const lines = execute(connection, rest.join(' '));
		const newest = log.entries().at(-1);
		const replicated = newest === undefined || newest === newestBefore ? undefined : waitForReplica?.(newest);
		if (first !== '-' && remainingLostAnswers > 0) {
			remainingLostAnswers--;
			socket.destroy();
			return undefined;
		}

		const sendLines = () => {
			socket.write([...lines, `READY ${connection.state} ${log.position()}`, ''].join('\r\n'));
		};

		if (replicated === undefined) {
			sendLines();
			return undefined;
		}

		return replicated.then(sendLines); // eslint-disable-line promise/prefer-await-to-then -- other statements are answered in the same turn
	};

	/** Answers a message after those before it and after its work, also if the connection is closed meanwhile. */
	const answerInOrder = async (socket: Socket, connection: InstanceConnectionState, line: string) => {
		const {answered} = connection;
		await answered;
		const [, id = '', ...text] = line.split(' ');
		if (id !== '-' && workPattern.test(text.join(' '))) {
			await sleep(workMs);
		}

		await answer(socket, connection, line);
	};

	const server = createServer(socket => {
		const connection: InstanceConnectionState = {
			state: 'I', isReadOnly: false, writes: [], variables: new Map(), prepared: new Map(), answered: Promise.resolve(),
		};
		let rest = '';
		if (isCrashed) {
			socket.resetAndDestroy();
			return;
		}

		sockets.add(socket);
		socket.on('close', () => sockets.delete(socket));
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Buffer) => {
			const lines = (rest + chunk.toString('latin1')).split('\r\n');
			rest = lines.pop() ?? '';
			for (const line of isUnresponsive ? [] : lines) {
				if (workMs === 0 && waitForReplica === undefined) {
					void answer(socket, connection, line);
				} else {
					connection.answered = answerInOrder(socket, connection, line);
				}
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		id,
		port: (server.address() as AddressInfo).port,
		role: log.role,
		term: log.term,
		log: log.entries,
		executedStatements: () => executedStatements,
		sessionWorkspaces: () => sessionWorkspaces,
		receive: log.receive,
		promote: log.promote,
		stepDown: log.stepDown,
		setLag: log.setLag,
		stopAnswering() {
			isUnresponsive = true;
		},
		answerAgain() {
			isUnresponsive = false;
		},
		setFrozen(newer) {
			isFrozen = newer;
			if (!isFrozen) {
				const due = delayed;
				delayed = [];
				for (const run of due) {
					run();
				}
			}
		},
		setStatusRefused(newer) {
			isStatusRefused = newer;
		},
		crash() {
			isCrashed = true;
			delayed = [];
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
		comeBack(newestTerm) {
			isCrashed = false;
			log.stepDown(newestTerm);
		},
		comeBackEmpty() {
			isCrashed = false;
			log.clear();
		},
		isCrashed: () => isCrashed,
		isDown: () => isCrashed || isFrozen || isUnresponsive,
		loseAnswers(count) {
			remainingLostAnswers = count;
		},
		close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}
