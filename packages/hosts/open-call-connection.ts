import {createFrameWriter, maxFrameBytes, readFrames} from '@sapphirefall/wire';
import type {CallConnection} from './call-connection.ts';
import type {CallOptions} from './call-options.ts';
import type {CallOutcome} from './call-outcome.ts';

type OpenCall<Response> = {
	readonly deadline: number;
	readonly hasKeepalive: boolean;
	readonly sentAt: number;
	readonly finish: (outcome: CallOutcome<Response>) => void;
};

/** Milliseconds without received data, while a call with keepalive is open, after which a ping is sent. */
const keepaliveIntervalMs = 400;

/** Milliseconds without received data after a ping, after which the connection is closed as dead. */
const pingTimeoutMs = 500;

/** Minimum delay of the timer that checks deadlines, in milliseconds; a call may time out this much late. */
const minTimerDelayMs = 25;

/** Call number after which a new connection is opened, because the call numbers in messages have 32 bits. */
const maxCallId = 2 ** 31;

/** Maximum number of unsent bytes; above it the other host reads too slowly, and further calls are not sent. */
const maxBufferedBytes = 4 * 1024 * 1024;

/**
 * Opens a connection for calls to another host. Calls are answered in any order.
 *
 * One timer serves the deadlines of all calls and detects a dead connection.
 */
export function openCallConnection<Response extends {readonly id: number}>(options: CallOptions<Response>): CallConnection<Response> {
	const {now, onProtocolError} = options;
	const socket = options.connect();
	const writer = createFrameWriter(socket);
	const openCalls = new Map<number, OpenCall<Response>>();
	/** Number of open calls with keepalive. */
	let keepaliveCalls = 0;
	let lastId = 0;
	let lastReceivedAt = now();
	let pingedAt = lastReceivedAt;
	/** When the first ping was sent after which no data was received. */
	let unansweredPingAt: number | undefined;
	let isConnected = false;
	let isClosed = false;
	/** Whether no further calls are sent, and the connection is closed once no call is open. */
	let isDraining = false;
	/** Whether a call timed out and no data was received since it was sent. */
	let isSuspect = false;
	let timer: NodeJS.Timeout | undefined;
	let timerDueAt = Number.POSITIVE_INFINITY;

	const close = () => {
		if (isClosed) {
			return;
		}

		isClosed = true;
		clearTimeout(timer);
		socket.destroy();
		// Data written before the connection is established never leaves this host.
		const outcome = isConnected ? {kind: 'lost'} as const : {kind: 'notSent'} as const;
		for (const call of openCalls.values()) {
			call.finish(outcome);
		}

		openCalls.clear();
	};

	const closeIfUnused = () => {
		if (isDraining && openCalls.size === 0) {
			close();
		}
	};

	const failConnection = (reason: string) => {
		if (!isClosed) {
			onProtocolError(reason);
			close();
		}
	};

	const removeCall = (id: number) => {
		const call = openCalls.get(id);
		openCalls.delete(id);
		keepaliveCalls -= call?.hasKeepalive === true ? 1 : 0;
		return call;
	};

	/** Ends the calls that the other host will never read; the others may still be answered until it closes the connection. */
	const endCallsAfter = (lastRead: number) => {
		if (lastRead > lastId) {
			throw new Error(`received ${lastRead} as the last call, which was never sent`);
		}

		isDraining = true;
		for (const id of [...openCalls.keys()].filter(id => id > lastRead)) {
			removeCall(id)?.finish({kind: 'notSent'});
		}

		closeIfUnused();
	};

	const receive = (message: Uint8Array) => {
		const response = options.decode(message);
		const lastRead = options.findLastRead(response);
		if (lastRead !== undefined) {
			endCallsAfter(lastRead);
			return;
		}

		if (response.id === 0 || response.id > lastId) {
			throw new Error(`received an answer to call ${response.id}, which was never sent`);
		}

		// A call whose deadline has passed is no longer open, so its late answer is ignored.
		removeCall(response.id)?.finish({kind: 'answered', response});
		closeIfUnused();
	};

	/** Ends calls whose deadline has passed; returns the earliest deadline of the others. */
	const expireCalls = (at: number): number => {
		let earliest = Number.POSITIVE_INFINITY;
		for (const [id, call] of openCalls) {
			if (call.deadline <= at) {
				removeCall(id);
				isSuspect ||= lastReceivedAt <= call.sentAt;
				call.finish({kind: 'lost'});
			} else {
				earliest = Math.min(earliest, call.deadline);
			}
		}

		return earliest;
	};

	const pingIfSilent = (at: number) => {
		if (at - Math.max(lastReceivedAt, pingedAt) >= keepaliveIntervalMs) {
			pingedAt = at;
			unansweredPingAt ??= at;
			lastId++;
			writer.write(options.encodePing(lastId));
		}
	};

	const checkCalls = () => {
		timerDueAt = Number.POSITIVE_INFINITY;
		const at = now();
		const earliest = expireCalls(at);
		if (openCalls.size === 0) {
			closeIfUnused();
			return;
		}

		if (keepaliveCalls === 0) {
			startTimer(earliest, at);
			return;
		}

		if (unansweredPingAt !== undefined && at - unansweredPingAt >= pingTimeoutMs) {
			close();
			return;
		}

		pingIfSilent(at);
		const pingDueAt = Math.max(lastReceivedAt, pingedAt) + keepaliveIntervalMs;
		startTimer(Math.min(earliest, pingDueAt, (unansweredPingAt ?? at) + pingTimeoutMs), at);
	};

	const startTimer = (due: number, at: number) => {
		if (due < timerDueAt) {
			clearTimeout(timer);
			timerDueAt = due;
			timer = setTimeout(() => {
				// A process that has stalled first reads the answers that have arrived.
				setImmediate(checkCalls);
			}, Math.max(minTimerDelayMs, due - at));
		}
	};

	socket.on('connect', () => {
		isConnected = true;
	});
	socket.on('data', ({length}: Uint8Array) => {
		options.onBytes?.(length);
		lastReceivedAt = now();
		unansweredPingAt = undefined;
		isSuspect = false;
	});
	readFrames(socket, {onMessage: receive, onError: failConnection});
	// The 'close' event that follows an error ends all open calls.
	socket.on('error', () => undefined);
	socket.on('close', close);
	socket.setTimeout(options.idleTimeoutMs, () => {
		if (openCalls.size === 0) {
			close();
		}
	});

	return {
		async call(encode, {timeoutMs, hasKeepalive}) {
			if (isClosed || isDraining || writer.bufferedBytes() > maxBufferedBytes) {
				return {kind: 'notSent'};
			}

			const id = lastId + 1;
			const message = encode(id);
			if (message.length > maxFrameBytes) {
				return {kind: 'tooLong'};
			}

			lastId = id;
			writer.write(message);
			const at = now();
			if (hasKeepalive && keepaliveCalls === 0) {
				// The time until a ping starts with the first open call that has keepalive.
				lastReceivedAt = at;
				unansweredPingAt = undefined;
			}

			return new Promise(resolve => {
				openCalls.set(id, {
					deadline: at + timeoutMs, hasKeepalive, sentAt: at, finish: resolve,
				});
				keepaliveCalls += hasKeepalive ? 1 : 0;
				startTimer(hasKeepalive ? Math.min(at + timeoutMs, at + keepaliveIntervalMs) : at + timeoutMs, at);
			});
		},
		isDueForReplacement: () => isClosed || isDraining || isSuspect || lastId >= maxCallId,
		drain() {
			isDraining = true;
			closeIfUnused();
		},
	};
}
