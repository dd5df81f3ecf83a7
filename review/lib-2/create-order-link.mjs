import {connect, createServer} from 'node:net';

const host = '127.0.0.1';

/** Reads who gives an order from the bytes of its request. */
function readHolder(request) {
	return /x-lease-holder: (?<holder>\S+)/iv.exec(request.toString('latin1'))?.groups.holder ?? '';
}

/** Keeps what a client sends, until it is passed on; a reset by the client discards it. */
function holdBytes(client, target, first) {
	const chunks = [first];
	let hasEnded = false;
	let isReset = false;
	client.on('data', chunk => {
		chunks.push(chunk);
	});
	client.on('end', () => {
		hasEnded = true;
	});
	client.on('error', () => {
		isReset = true;
		target.destroy();
	});
	return {
		holder: readHolder(first),
		isReset: () => isReset,
		release() {
			for (const chunk of isReset ? [] : chunks) {
				target.write(chunk);
			}

			if (hasEnded) {
				target.end();
			}
		},
	};
}

/**
 * Creates a relay to the interface for singleton duties. Once it is told to hold the next order, the path is cut as the order
 * is on its way: its connection has been opened from end to end, and its bytes are kept until they are released.
 */
export async function createOrderLink() {
	let targetPort = 0;
	let onOrder;
	const server = createServer({allowHalfOpen: true}, client => {
		const target = connect(targetPort, host);
		target.on('error', () => {
			client.destroy();
		});
		client.on('error', () => {
			target.destroy();
		});
		client.once('data', first => {
			const hold = onOrder;
			onOrder = undefined;
			if (hold !== undefined) {
				hold(holdBytes(client, target, first));
				return;
			}

			target.write(first);
			client.pipe(target);
			target.pipe(client);
		});
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		port: server.address().port,
		setTarget(port) {
			targetPort = port;
		},
		holdNext: async () => new Promise(resolve => {
			onOrder = resolve;
		}),
		close() {
			server.close();
		},
	};
}
