import {createServer} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';

/** Milliseconds that the platform takes for an answer. */
const answerMs = 4;

/**
 * Starts a stand-in of the platform's interface for singleton duties, which accepts promotions and checks no fence.
 *
 * @param options.groups The groups whose instances may be promoted.
 * @param options.onCall Called with each call that has arrived.
 */
export async function startCloud({groups, onCall = () => undefined}) {
	const calls = [];
	let isCut = false;
	/** Requests that are held up by the cut. */
	let held = [];

	const handle = async (request, response) => {
		const {backend, id} = JSON.parse(await text(request));
		const call = {
			at: performance.now(), service: backend, id, holder: request.headers['x-lease-holder'], token: Number(request.headers['x-fencing-token']),
		};
		const isAccepted = groups.find(({service}) => service === backend)?.promote(id) ?? false;
		calls.push({...call, status: isAccepted ? 200 : 409});
		onCall(calls.at(-1));
		await sleep(answerMs);
		response.writeHead(isAccepted ? 200 : 409, {'Content-Type': 'application/json'}).end('{}');
	};

	const server = createServer((request, response) => {
		if (isCut) {
			held.push({request, response});
		} else {
			handle(request, response);
		}
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		port: server.address().port,
		calls,
		/** Cuts the interface off: what is sent to it is held up. */
		cut() {
			isCut = true;
		},
		/** Ends the cut: what was held up arrives, unless its sender has closed the connection meanwhile. */
		heal() {
			isCut = false;
			const arriving = held.filter(({request}) => !request.socket.destroyed);
			held = [];
			for (const {request, response} of arriving) {
				handle(request, response);
			}
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
