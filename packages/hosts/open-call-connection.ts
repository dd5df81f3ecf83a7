import {createFrameWriter, readFrames} from '@sapphirefall/wire';
import type {CallConnection} from './call-connection.ts';
import type {CallOptions} from './call-options.ts';
import type {CallOutcome} from './call-outcome.ts';

type OpenCall<Response> = {
	readonly deadline: number;
	readonly isWatched: boolean;
	readonly sentAt: number;
	readonly finish: (outcome: CallOutcome<Response>) => void;
};

/** Milliseconds without a message, while a watched call is open, after which a sign of life is asked for. */
const beatInterval = 400;

/** Milliseconds without a message, while a watched call is open, after which the connection counts as silent and is closed. */
const silenceLimit = 900;

/** Milliseconds between two looks at deadlines at the least; calls that time out may do so this much late. */
const timerResolution = 25;

/** Number of calls after which another connection is opened; their numbers have 32 bits. */
const lastNumber = 2 ** 31;

/** Bytes that may wait to be sent; a call beyond them is not sent, since the other host takes them too slowly. */
const waitingLimit = 4 * 1024 * 1024;

/**
 * Opens a connection for calls to another host. Calls are answered in any order.
 *
 * One timer serves all deadlines and finds out that the connection has gone silent.
 */
export function openCallConnection<Response extends {readonly id: number}>(options: CallOptions<Response>): CallConnection<Response> {
	const {now, onBroken} = options;
	const socket = options.connect();
	const writer = createFrameWriter(socket);
	const open = new Map<number, OpenCall<Response>>();
	/** Open calls during which the other host must show life. */
	let watched = 0;
	let lastId = 0;
	let heardAt = now();
	let beatAt = heardAt;
	let isConnected = false;
	let isClosed = false;
	let isRetired = false;
	/** Whether a call got no answer in time, and nothing else came meanwhile. */
	let isDoubtful = false;
	let timer: NodeJS.Timeout | undefined;
	let timerDue = Number.POSITIVE_INFINITY;

	const close = () => {
		if (isClosed) {
			return;
		}

		isClosed = true;
		clearTimeout(timer);
		socket.destroy();
		// What is written before the connection stands never leaves this host.
		const outcome = isConnected ? {kind: 'lost'} as const : {kind: 'notSent'} as const;
		for (const call of open.values()) {
			call.finish(outcome);
		}

		open.clear();
	};

	const closeIfUnused = () => {
		if (isRetired && open.size === 0) {
			close();
		}
	};

	const breakOff = (reason: string) => {
		if (!isClosed) {
			onBroken(reason);
			close();
		}
	};

	const takeCall = (id: number) => {
		const call = open.get(id);
		open.delete(id);
		watched -= call?.isWatched === true ? 1 : 0;
		return call;
	};

	const receive = (message: Uint8Array) => {
		const response = options.decode(message);
		if (response.id === 0 || response.id > lastId) {
			throw new Error(`call ${response.id} is answered, but was never made`);
		}

		// An answer that comes after its deadline finds no call any more.
		takeCall(response.id)?.finish({kind: 'answered', response});
		closeIfUnused();
	};

	/** Ends calls whose time is over; returns the earliest deadline of the others. */
	const endLateCalls = (at: number): number => {
		let earliest = Number.POSITIVE_INFINITY;
		for (const [id, call] of open) {
			if (call.deadline <= at) {
				takeCall(id);
				isDoubtful ||= heardAt <= call.sentAt;
				call.finish({kind: 'lost'});
			} else {
				earliest = Math.min(earliest, call.deadline);
			}
		}

		return earliest;
	};

	const askForLife = (at: number) => {
		if (at - Math.max(heardAt, beatAt) >= beatInterval) {
			beatAt = at;
			lastId++;
			writer.write(options.encodePing(lastId));
		}
	};

	const check = () => {
		timerDue = Number.POSITIVE_INFINITY;
		const at = now();
		const earliest = endLateCalls(at);
		if (open.size === 0) {
			closeIfUnused();
			return;
		}

		if (watched === 0) {
			startTimer(earliest, at);
			return;
		}

		if (at - heardAt >= silenceLimit) {
			close();
			return;
		}

		askForLife(at);
		startTimer(Math.min(earliest, at + beatInterval, heardAt + silenceLimit), at);
	};

	const startTimer = (due: number, at: number) => {
		if (due < timerDue) {
			clearTimeout(timer);
			timerDue = due;
			timer = setTimeout(check, Math.max(timerResolution, due - at));
		}
	};

	socket.on('connect', () => {
		isConnected = true;
	});
	socket.on('data', () => {
		heardAt = now();
		isDoubtful = false;
	});
	readFrames(socket, {onMessage: receive, onError: breakOff});
	// The close that follows ends all calls.
	socket.on('error', () => undefined);
	socket.on('close', close);
	socket.setTimeout(options.idleSpan, () => {
		if (open.size === 0) {
			close();
		}
	});

	return {
		async call(encode, {timeout, isWatched}) {
			if (isClosed || writer.bufferedBytes() > waitingLimit) {
				return {kind: 'notSent'};
			}

			const at = now();
			if (isWatched && watched === 0) {
				// Silence counts from the first call that waits.
				heardAt = at;
			}

			lastId++;
			const id = lastId;
			writer.write(encode(id));
			return new Promise(resolve => {
				open.set(id, {
					deadline: at + timeout, isWatched, sentAt: at, finish: resolve,
				});
				watched += isWatched ? 1 : 0;
				startTimer(isWatched ? Math.min(at + timeout, at + beatInterval) : at + timeout, at);
			});
		},
		isDoubtful: () => isClosed || isDoubtful || lastId >= lastNumber,
		retire() {
			isRetired = true;
			closeIfUnused();
		},
	};
}
