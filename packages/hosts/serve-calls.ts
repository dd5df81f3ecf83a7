import {createServer, type Server, type Socket} from 'node:net';
import {createFrameWriter, readFrames} from '@sapphirefall/wire';

type Options<Request> = {
	/** Decodes a call; throws when it cannot be read. */
	readonly decode: (message: Uint8Array) => Request;
	/** Answers a call with an encoded message; must not reject. */
	readonly answer: (request: Request) => Promise<Uint8Array>;
	/** Called with what is wrong when another host breaks the protocol. */
	readonly onBroken: (reason: string, from: string) => void;
};

/** Connections that may wait to be taken; after a restart all hosts connect at once. */
const backlog = 512;

/** Calls of one connection that run at once; the next ones are read once some are done. */
const runningLimit = 1000;

/** Bytes of answers that may wait; a host that takes them no faster is not waited for. */
const waitingLimit = 16 * 1024 * 1024;

/** Milliseconds without any message after which a connection is closed, whose other end may be gone; longer than callers keep it. */
const idleSpan = 360_000;

/** Serves calls of other hosts, as made by `openCallConnection`. Answers go out as they are ready. */
export function serveCalls<Request extends {readonly id: number}>(
	address: {readonly host: string; readonly port: number},
	options: Options<Request>,
): Server {
	const server = createServer({noDelay: true}, socket => {
		serveSocket(socket, options);
	});
	return server.listen({...address, backlog});
}

function serveSocket<Request extends {readonly id: number}>(socket: Socket, {decode, answer, onBroken}: Options<Request>): void {
	const writer = createFrameWriter(socket);
	const from = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`;
	let lastId = 0;
	let running = 0;

	const breakOff = (reason: string) => {
		if (!socket.destroyed) {
			onBroken(reason, from);
			socket.destroy();
		}
	};

	const run = async (request: Request) => {
		running++;
		if (running === runningLimit) {
			socket.pause();
		}

		const message = await answer(request);
		running--;
		if (running === runningLimit - 1) {
			socket.resume();
		}

		writer.write(message);
		if (writer.bufferedBytes() > waitingLimit) {
			breakOff('answers are not taken');
		}
	};

	const receive = (message: Uint8Array) => {
		const request = decode(message);
		if (request.id <= lastId) {
			throw new Error(`call ${request.id} comes after call ${lastId}`);
		}

		lastId = request.id;
		void run(request);
	};

	readFrames(socket, {onMessage: receive, onError: breakOff});
	// A reset is followed by the close; what runs goes on, and its answers are not written.
	socket.on('error', () => undefined);
	socket.setTimeout(idleSpan, () => {
		socket.destroy();
	});
}
