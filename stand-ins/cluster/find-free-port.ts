import {createServer} from 'node:net';
import process from 'node:process';

/** First and last port to hand out; the system picks ports of outgoing connections and of relays above these. */
const firstPort = 20_000;
const lastPort = 32_000;

/** Distance between the ports that two test processes try first. */
const processStride = 41;

let next = firstPort + ((process.pid * processStride) % (lastPort - firstPort));

/** Finds a port that nothing listens on, and that the system gives to nothing else meanwhile. */
export async function findFreePort(): Promise<number> {
	for (;;) {
		const port = next;
		next = port >= lastPort ? firstPort : port + 1;
		if (await canListen(port)) { // eslint-disable-line no-await-in-loop -- one port after the other
			return port;
		}
	}
}

async function canListen(port: number): Promise<boolean> {
	const server = createServer();
	return new Promise(resolve => {
		server.on('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
