import type {Buffer} from 'node:buffer';
import {
	createServer, connect, type AddressInfo, type Socket,
} from 'node:net';
import type {Link} from './link.ts';
import type {LinkFault} from './link-fault.ts';

/** Milliseconds that a lost segment costs until it is sent again. */
const retransmission = 200;

/** Milliseconds between two looks at whether a cut link has healed. */
const healInterval = 10;

/**
 * Creates a relay for TCP connections to a port of this machine, which can delay, hold and reset them.
 *
 * @param targetPort Port to relay to.
 * @param options Fault at the start, and a source of random numbers from 0 to 1.
 */
export async function createLink(
	targetPort: number,
	options: {readonly fault: LinkFault; readonly random: () => number},
): Promise<Link> {
	const sockets = new Set<Socket>();
	const muted = new WeakSet<Socket>();
	let {fault} = options;

	const findDelay = () => {
		const lost = options.random() < fault.lossRate ? retransmission : 0;
		return fault.delayMs + (options.random() * fault.jitterMs) + lost;
	};

	const relay = (from: Socket, to: Socket) => {
		let readyAt = 0;
		let sending = Promise.resolve();
		const send = async (chunk: Buffer | undefined, at: number) => {
			await wait(at - performance.now());
			while (fault.isPartitioned) {
				await wait(healInterval); // eslint-disable-line no-await-in-loop -- the bytes wait until the link heals
			}

			if (muted.has(from)) {
				return;
			}

			if (chunk === undefined) {
				to.end();
			} else if (!to.destroyed) {
				to.write(chunk);
			}
		};

		const schedule = (chunk: Buffer | undefined) => {
			readyAt = Math.max(readyAt, performance.now() + findDelay());
			const at = readyAt;
			const before = sending;
			sending = (async () => {
				await before;
				await send(chunk, at);
			})();
		};

		from.on('data', schedule);
		from.on('end', () => {
			schedule(undefined);
		});
		from.on('close', () => {
			sockets.delete(from);
			schedule(undefined);
		});
		from.on('error', () => {
			sockets.delete(from);
			to.destroy();
		});
	};

	const server = createServer(near => {
		const far = connect(targetPort, '127.0.0.1');
		near.setNoDelay(true);
		far.setNoDelay(true);
		sockets.add(near);
		sockets.add(far);
		relay(near, far);
		relay(far, near);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return {
		port: (server.address() as AddressInfo).port,
		setFault(next) {
			fault = {...fault, ...next};
		},
		reset() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
		mute() {
			for (const socket of sockets) {
				muted.add(socket);
			}
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

async function wait(milliseconds: number): Promise<void> {
	if (milliseconds > 0) {
		await new Promise<void>(resolve => {
			setTimeout(resolve, milliseconds);
		});
	}
}
