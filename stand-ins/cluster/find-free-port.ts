import {createServer} from 'node:net';
import process from 'node:process';

/**
 * Range of ports to allocate. It lies below the operating system's ephemeral ports, which outgoing connections and relays use,
 * and below the blocks of ports from 20,000 that the scripts in `review/` take for their hosts.
 */
const minPort = 8000;
const maxPort = 19_999;

/** Distance between the first ports that two test processes with adjacent process identifiers try; a soak uses more than 64. */
const processOffset = 331;

let nextPort = minPort + ((process.pid * processOffset) % (maxPort - minPort));

/** Finds a free port that the operating system does not assign to other sockets before the caller listens on it. */
export async function findFreePort(): Promise<number> {
	for (;;) {
		const port = nextPort;
		nextPort = port >= maxPort ? minPort : port + 1;
		if (await canListen(port)) { // eslint-disable-line no-await-in-loop -- checks one port at a time
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
