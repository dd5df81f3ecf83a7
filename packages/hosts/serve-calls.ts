import {createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createConnectionAdmission, createConnectionMemory, type ConnectionClose, type MemoryHolder,
} from '@sapphirefall/sessions';
import {createFrameWriter, readFrames} from '@sapphirefall/wire';
import type {CallServerLimits} from './call-server-limits.ts';
import type {CallServer} from './call-server.ts';

type Options<Request> = {
	/** Decodes a call; throws if the message is invalid. */
	readonly decode: (message: Uint8Array) => Request;
	/** Runs a call and resolves with the encoded answer; must not reject. */
	readonly answer: (request: Request) => Promise<Uint8Array>;
	/** Encodes the last message on a connection, with the number of the last call that was read. */
	readonly encodeGoAway: (lastId: number) => Uint8Array;
	/** Called with the reason and the remote address when another host violates the protocol; the connection is closed then. */
	readonly onProtocolError: (reason: string, remoteAddress: string) => void;
	/** Defaults to no limits. */
	readonly limits?: CallServerLimits;
};

/** Length of the queue of pending connections; after a restart all hosts connect at the same time. */
const backlog = 512;

/**
 * Maximum number of calls of one connection in progress; at the limit the socket is paused until one ends. A paused
 * connection answers no pings, so the limit is more than a host has callers.
 */
const maxCallsInProgress = 10_000;

/** Maximum number of unsent answer bytes; above it the other host reads too slowly, and its connection is closed. */
const maxBufferedBytes = 16 * 1024 * 1024;

/** Milliseconds without data after which a connection is closed, since the other host may be gone; longer than the idle timeout of callers. */
const idleTimeoutMs = 360_000;

/** Milliseconds left at the end of a connection for the last messages to arrive and the other host to close it. */
const closingMarginMs = 100;

/** What all connections share. */
type Shared = {
	readonly admission: ReturnType<typeof createConnectionAdmission>;
	/** Bytes of messages that are not complete. */
	readonly frames: ReturnType<typeof createConnectionMemory>;
	readonly onBytes: (bytes: number) => void;
	readonly onClosed: (reason: ConnectionClose) => void;
};

/** A connection as one of those that are accepted. */
type Place = Parameters<Shared['admission']['admit']>[0];

/** A connection of another host. */
type ServedConnection = {
	/** Reads no more calls, and half-closes the connection behind the last message once the answers that are due are written. */
	readonly stop: () => void;
	/** Writes the last message and half-closes the connection, though answers may be due. */
	readonly end: () => void;
	/** Resolves when the connection is closed. */
	readonly closed: Promise<void>;
};

/** Serves calls that other hosts make with `openCallConnection`. Sends each answer as soon as it is ready. */
export function serveCalls<Request extends {readonly id: number}>(
	address: {readonly host: string; readonly port: number},
	options: Options<Request>,
): CallServer {
	const connections = new Set<ServedConnection>();
	const {limits} = options;
	const shared: Shared = {
		admission: createConnectionAdmission(limits?.connections ?? Number.POSITIVE_INFINITY),
		frames: createConnectionMemory(limits?.frameBytes ?? Number.POSITIVE_INFINITY),
		onBytes: limits?.onBytes ?? ignore,
		onClosed: limits?.onClosed ?? ignore,
	};
	const server = createServer({noDelay: true}, socket => {
		const place = {
			giveWay() {
				shared.onClosed('gaveWay');
				dismiss(socket, connection);
			},
		};
		const connection = serveSocket(socket, {...options, shared, place});
		if (!shared.admission.admit(place)) {
			shared.onClosed('noPlace');
			dismiss(socket, connection);
			return;
		}

		connections.add(connection);
		socket.on('close', () => {
			connections.delete(connection);
			shared.admission.remove(place);
		});
	});
	// An error before the server listens has to end the process; a connection that cannot be accepted does not.
	server.on('listening', () => {
		server.on('error', limits?.onAcceptError ?? ignore);
	});
	server.listen({...address, backlog});
	return {
		server,
		async stop(limitMs) {
			server.close();
			const stopping = [...connections];
			for (const connection of stopping) {
				connection.stop();
			}

			const timer = setTimeout(() => {
				for (const connection of connections) {
					connection.end();
				}
			}, Math.max(0, limitMs - closingMarginMs));
			await Promise.race([Promise.all(stopping.map(async ({closed}) => closed)), sleep(limitMs, undefined, {ref: false})]);
			clearTimeout(timer);
		},
	};
}

function ignore(): void {
	// Servers without metrics are told nothing.
}

/** Closes a connection without calls in progress, behind the message with the last call that was read: later ones are not run. */
function dismiss(socket: Socket, {stop}: ServedConnection): void {
	const destroy = () => {
		socket.destroy();
	};

	socket.on('finish', destroy);
	// The other host may be gone, and earlier answers with it.
	setTimeout(destroy, closingMarginMs).unref();
	stop();
}

function serveSocket<Request extends {readonly id: number}>(socket: Socket, {
	decode, answer, encodeGoAway, onProtocolError, shared, place,
}: Options<Request> & {readonly shared: Shared; readonly place: Place}): ServedConnection {
	const writer = createFrameWriter(socket);
	const remoteAddress = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`;
	let lastId = 0;
	let callsInProgress = 0;
	/** Whether calls that arrive are no longer read. */
	let isStopping = false;
	let isEnded = false;

	const failConnection = (reason: string) => {
		if (!socket.destroyed) {
			onProtocolError(reason, remoteAddress);
			socket.destroy();
		}
	};

	const end = () => {
		if (!isEnded) {
			isEnded = true;
			writer.write(encodeGoAway(lastId));
			writer.end();
		}
	};

	const endIfAnswered = () => {
		if (isStopping && callsInProgress === 0) {
			end();
		}
	};

	const run = async (request: Request) => {
		callsInProgress++;
		shared.admission.setStalled(place, false);
		if (callsInProgress === maxCallsInProgress) {
			socket.pause();
		}

		const message = await answer(request);
		callsInProgress--;
		if (callsInProgress === maxCallsInProgress - 1) {
			socket.resume();
		}

		shared.admission.setStalled(place, callsInProgress === 0);
		if (isEnded) {
			return;
		}

		shared.onBytes(message.length);
		writer.write(message);
		endIfAnswered();
		if (writer.bufferedBytes() > maxBufferedBytes) {
			failConnection('the calling host does not read its answers');
		}
	};

	const receive = (message: Uint8Array) => {
		if (isStopping) {
			return;
		}

		const request = decode(message);
		if (request.id <= lastId) {
			throw new Error(`received call ${request.id} after call ${lastId}; call numbers must increase`);
		}

		lastId = request.id;
		shared.admission.keep(place);
		void run(request);
	};

	const holder: MemoryHolder = {
		evict() {
			shared.onClosed('memory');
			socket.destroy();
		},
	};
	readFrames(socket, {
		onMessage: receive,
		onError: failConnection,
		onHeldBytes(bytes) {
			shared.frames.update(holder, bytes);
		},
	});
	socket.on('data', ({length}: Uint8Array) => {
		shared.onBytes(length);
	});
	socket.on('close', () => {
		shared.frames.update(holder, 0);
	});
	// The 'close' event follows a reset. Calls in progress continue, and their answers are not written.
	socket.on('error', () => undefined);
	socket.setTimeout(idleTimeoutMs, () => {
		socket.destroy();
	});
	return {
		stop() {
			isStopping = true;
			// What arrives is taken from the operating system and dropped, as it resets a connection with unread data.
			socket.resume();
			endIfAnswered();
		},
		end,
		closed: new Promise(resolve => {
			socket.once('close', () => {
				resolve();
			});
		}),
	};
}
