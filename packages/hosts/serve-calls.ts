import {createServer, type Server, type Socket} from 'node:net';
import {createFrameWriter, readFrames} from '@sapphirefall/wire';

type Options<Request> = {
	/** Decodes a call; throws if the message is invalid. */
	readonly decode: (message: Uint8Array) => Request;
	/** Runs a call and resolves with the encoded answer; must not reject. */
	readonly answer: (request: Request) => Promise<Uint8Array>;
	/** Called with the reason and the remote address when another host violates the protocol; the connection is closed then. */
	readonly onProtocolError: (reason: string, remoteAddress: string) => void;
};

/** Length of the queue of pending connections; after a restart all hosts connect at the same time. */
const backlog = 512;

/** Maximum number of calls of one connection in progress; at the limit the socket is paused until one ends. */
const maxCallsInProgress = 1000;

/** Maximum number of unsent answer bytes; above it the other host reads too slowly, and its connection is closed. */
const maxBufferedBytes = 16 * 1024 * 1024;

/** Milliseconds without data after which a connection is closed, since the other host may be gone; longer than the idle timeout of callers. */
const idleTimeoutMs = 360_000;

/** Serves calls that other hosts make with `openCallConnection`. Sends each answer as soon as it is ready. */
export function serveCalls<Request extends {readonly id: number}>(
	address: {readonly host: string; readonly port: number},
	options: Options<Request>,
): Server {
	const server = createServer({noDelay: true}, socket => {
		serveSocket(socket, options);
	});
	return server.listen({...address, backlog});
}

function serveSocket<Request extends {readonly id: number}>(socket: Socket, {decode, answer, onProtocolError}: Options<Request>): void {
	const writer = createFrameWriter(socket);
	const remoteAddress = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`;
	let lastId = 0;
	let callsInProgress = 0;

	const failConnection = (reason: string) => {
		if (!socket.destroyed) {
			onProtocolError(reason, remoteAddress);
			socket.destroy();
		}
	};

	const run = async (request: Request) => {
		callsInProgress++;
		if (callsInProgress === maxCallsInProgress) {
			socket.pause();
		}

		const message = await answer(request);
		callsInProgress--;
		if (callsInProgress === maxCallsInProgress - 1) {
			socket.resume();
		}

		writer.write(message);
		if (writer.bufferedBytes() > maxBufferedBytes) {
			failConnection('the calling host does not read its answers');
		}
	};

	const receive = (message: Uint8Array) => {
		const request = decode(message);
		if (request.id <= lastId) {
			throw new Error(`received call ${request.id} after call ${lastId}; call numbers must increase`);
		}

		lastId = request.id;
		void run(request);
	};

	readFrames(socket, {onMessage: receive, onError: failConnection});
	// The 'close' event follows a reset. Calls in progress continue, and their answers are not written.
	socket.on('error', () => undefined);
	socket.setTimeout(idleTimeoutMs, () => {
		socket.destroy();
	});
}
