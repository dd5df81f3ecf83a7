import process from 'node:process';
import {createServer, type RequestListener, type Server} from 'node:http';
import {createServer as createServer2, type Http2Server, type ServerHttp2Session} from 'node:http2';
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

/** Milliseconds between the end of draining and the closing of connections; answers are written out meanwhile. */
const closingDelay = 100;

/** Milliseconds for which a host that drains still serves what others forward, until they have heard of it. */
const handoverDelay = 1500;

/**
 * Runs `sapphirefall serve`: one entry host, until a signal or an operator ends it.
 *
 * @param file Path of the settings file.
 */
export async function runServe(file: string): Promise<void> {
	const settings = readCheckedFile(file, hostSchema);
	const log = bunyan.createLogger({
		name: 'sapphirefall', level: settings.log.level, host: settings.host.id, stream: process.stderr,
	});
	let askDrain: () => void = () => undefined;
	const drainAsked = new Promise<void>(resolve => {
		askDrain = resolve;
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
		onDrainRequested: askDrain,
	});
	const listeners = await openListeners(settings, host);
	log.info('host: The host serves.');
	process.on('SIGTERM', askDrain);
	process.on('SIGINT', askDrain);
	await drainAsked;
	await finish(settings, {host, listeners});
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
		listen1(settings.listen.callers, callers),
		listen2(settings.listen.hosts, hosts),
		listen1(settings.listen.operators, operators),
		...(settings.listen.streams === undefined ? [] : [listen2(settings.listen.streams, callers)]),
	]);
}

async function listen1(address: string, handler: RequestListener): Promise<Listener> {
	const server = createServer(handler);
	await listen(server, address);
	return {
		server,
		destroyConnections() {
			server.closeAllConnections();
		},
	};
}

async function listen2(address: string, handler: Parameters<typeof createServer2>[1]): Promise<Listener> {
	const sessions = new Set<ServerHttp2Session>();
	const server = createServer2(handler);
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

/** Finishes the requests that run, then closes the listeners and the connections. */
async function finish(
	settings: HostFile,
	running: {readonly host: RunningHost; readonly listeners: readonly Listener[]},
): Promise<void> {
	await Promise.race([drainTwice(running.host), wait(settings.drain.timeout)]);
	for (const {server} of running.listeners) {
		server.close();
	}

	await wait(closingDelay);
	for (const {destroyConnections} of running.listeners) {
		destroyConnections();
	}

	running.host.stop();
	process.exitCode = resultCodes.done;
	setImmediate(() => {
		process.exit(); // eslint-disable-line unicorn/no-process-exit -- timers of client libraries would hold the process
	});
}

/** Drains, waits until other hosts have heard of it, and lets what they sent meanwhile finish. */
async function drainTwice(host: RunningHost): Promise<void> {
	await host.drain();
	await wait(handoverDelay);
	await host.drain();
}

async function wait(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
