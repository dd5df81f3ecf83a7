import type {Buffer} from 'node:buffer';
import {
	createServer, connect, type AddressInfo, type Socket,
} from 'node:net';
import type {Link} from './link.ts';
import type {LinkFault} from './link-fault.ts';

/** Latency that a lost segment adds, as the retransmission timeout of TCP does. */
const retransmissionDelayMs = 200;

/** Interval at which a partitioned link checks whether the partition has ended. */
const partitionPollIntervalMs = 10;

/**
 * Creates a TCP relay to a port of this machine that injects latency, loss, partitions and connection resets.
 *
 * @param targetPort Port to which the relay forwards connections.
 * @param options Initial fault, and a generator of random numbers from 0 to 1.
 */
export async function createLink(
	targetPort: number,
	options: {readonly fault: LinkFault; readonly random: () => number},
): Promise<Link> {
	const sockets = new Set<Socket>();
	const muted = new WeakSet<Socket>();
	let {fault} = options;

	const findDelay = () => {
		const retransmissionMs = options.random() < fault.lossRate ? retransmissionDelayMs : 0;
		return fault.delayMs + (options.random() * fault.jitterMs) + retransmissionMs;
	};

	const isHeld = (bytes: 'requests' | 'answers') => fault.isPartitioned && (fault.heldBytes ?? bytes) === bytes;

	const relay = (from: Socket, to: Socket, bytes: 'requests' | 'answers') => {
		let lastDueAt = 0;
		let lastSend = Promise.resolve();
		const send = async (chunk: Buffer | undefined, dueAt: number) => {
			await wait(dueAt - performance.now());
			while (isHeld(bytes)) {
				await wait(partitionPollIntervalMs); // eslint-disable-line no-await-in-loop -- holds the bytes until the partition ends
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
			lastDueAt = Math.max(lastDueAt, performance.now() + findDelay());
			const dueAt = lastDueAt;
			const previousSend = lastSend;
			lastSend = (async () => {
				await previousSend;
				await send(chunk, dueAt);
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

	const server = createServer(client => {
		const target = connect(targetPort, '127.0.0.1');
		client.setNoDelay(true);
		target.setNoDelay(true);
		sockets.add(client);
		sockets.add(target);
		relay(client, target, 'requests');
		relay(target, client, 'answers');
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
