import process from 'node:process';
import {createServer, type RequestListener, type Server} from 'node:http';
import {createServer as createHttp2Server, type Http2Server, type ServerHttp2Session} from 'node:http2';
import {randomUUID} from 'node:crypto';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import bunyan from 'bunyan';
import {createCallerHandler} from '@sapphirefall/callers';
import {resultCodes} from '@sapphirefall/decisions';
import {formatEvent} from '@sapphirefall/events';
import {createHostService} from '@sapphirefall/hosts';
import {createOperatorHandler} from '@sapphirefall/operators';
import {startHost, type RunningHost} from '@sapphirefall/proxy';
import {hostSchema, type HostFile} from '@sapphirefall/settings';
import {HostService} from '@sapphirefall/wire';
import {CommandError} from './command-error.ts';
import {readCheckedFile} from './read-checked-file.ts';

/** Milliseconds between the end of draining and the closing of connections, in which the last answers are flushed. */
const closeDelayMs = 100;

/** Milliseconds for which a draining host still serves forwarded requests, until the other hosts know that it drains. */
const handoverDelayMs = 1500;

/**
 * Runs `sapphirefall serve`: an entry host, until SIGTERM, SIGINT or an operator drains it.
 *
 * @param file Path of the settings file.
 */
export async function runServe(file: string): Promise<void> {
	const settings = readCheckedFile(file, hostSchema);
	const log = bunyan.createLogger({
		name: 'sapphirefall', level: settings.log.level, host: settings.host.id, stream: process.stderr,
	});
	let requestDrain: () => void = () => undefined;
	const drainRequested = new Promise<void>(resolve => {
		requestDrain = resolve;
	});
	const host = startHost({
		settings,
		log: {
			debug(line) {
				log.debug(line);
			}, info(line) {
				log.info(line);
			}, warn(line) {
				log.warn(line);
			},
		},
		onEvent(event) {
			process.stdout.write(`${formatEvent(event)}\n`);
		},
		now: () => performance.now(),
		wallNow: () => Date.now(),
		onDrainRequested: requestDrain,
	});
	const listeners = await openListeners(settings, host);
	log.info('host: The host accepts requests.');
	process.on('SIGTERM', requestDrain);
	process.on('SIGINT', requestDrain);
	await drainRequested;
	await shutDown(settings, {host, listeners});
}

type Listener = {
	readonly server: Server | Http2Server;
	readonly destroyConnections: () => void;
};

async function openListeners(settings: HostFile, host: RunningHost): Promise<readonly Listener[]> {
	const callers = createCallerHandler({
		handle: host.handle, maxRequestBytes: settings.requests.largest, createRequestId: randomUUID,
	});
	const hosts = connectNodeAdapter({
		routes(router) {
			router.service(HostService, createHostService(host));
		},
	});
	const operators = createOperatorHandler(host.operators, settings.secrets.operatorDigest);
	return Promise.all([
		listenHttp1(settings.listen.callers, callers),
		listenHttp2(settings.listen.hosts, hosts),
		listenHttp1(settings.listen.operators, operators),
		...(settings.listen.streams === undefined ? [] : [listenHttp2(settings.listen.streams, callers)]),
	]);
}

async function listenHttp1(address: string, handler: RequestListener): Promise<Listener> {
	const server = createServer(handler);
	await listen(server, address);
	return {
		server,
		destroyConnections() {
			server.closeAllConnections();
		},
	};
}

async function listenHttp2(address: string, handler: Parameters<typeof createHttp2Server>[1]): Promise<Listener> {
	const sessions = new Set<ServerHttp2Session>();
	const server = createHttp2Server(handler);
	server.on('session', session => {
		sessions.add(session);
		session.on('close', () => sessions.delete(session));
	});
	await listen(server, address);
	return {
		server,
		destroyConnections() {
			for (const session of sessions) {
				session.destroy();
			}
		},
	};
}

async function listen(server: Server | Http2Server, address: string): Promise<void> {
	const [ip, port] = address.split(':');
	await new Promise<void>((resolve, reject) => {
		server.once('error', () => {
			reject(new CommandError(resultCodes.settingsInvalid, `The address ${address} cannot be listened on`));
		});
		server.listen(Number(port), ip, resolve);
	});
}

/** Waits for running requests, at most for the drain timeout, then closes the listeners and the connections and exits. */
async function shutDown(
	settings: HostFile,
	running: {readonly host: RunningHost; readonly listeners: readonly Listener[]},
): Promise<void> {
	await Promise.race([drainWithForwarded(running.host), wait(settings.drain.timeout)]);
	for (const {server} of running.listeners) {
		server.close();
	}

	await wait(closeDelayMs);
	for (const {destroyConnections} of running.listeners) {
		destroyConnections();
	}

	running.host.stop();
	process.exitCode = resultCodes.done;
	setImmediate(() => {
		process.exit(); // eslint-disable-line unicorn/no-process-exit -- timers of client libraries would keep the process alive
	});
}

/** Drains, waits until other hosts know that this one drains, and drains the requests that they forwarded meanwhile. */
async function drainWithForwarded(host: RunningHost): Promise<void> {
	await host.drain();
	await wait(handoverDelayMs);
	await host.drain();
}

async function wait(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
