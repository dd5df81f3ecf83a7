/* eslint-disable no-await-in-loop -- pieces of a connection are sent in sequence */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {WireCrowd} from './wire-crowd.ts';

type Options = {
	readonly count: number;
	/** What each connection sends, in this order. */
	readonly messages: readonly Buffer[];
	/** Bytes that are sent at a time. Each message is sent in one piece unless it is given. */
	readonly pieceBytes?: number;
	/** Milliseconds between two pieces. Defaults to 0. */
	readonly pauseMs?: number;
	/** Whether the connections read what is sent to them. */
	readonly isReading: boolean;
};

/** Opens a crowd of connections to a port of this machine. */
export function openWireCrowd(port: number, {count, messages, pieceBytes, pauseMs = 0, isReading}: Options): WireCrowd {
	const sockets: Socket[] = [];
	const pieces = pieceBytes === undefined ? messages : cutPieces(Buffer.concat(messages), pieceBytes);
	const open = async () => {
		const socket = connect({host: '127.0.0.1', port, noDelay: true});
		sockets.push(socket);
		socket.on('error', () => undefined);
		if (isReading) {
			socket.resume();
		} else {
			socket.pause();
		}

		for (const piece of pieces) {
			if (socket.destroyed) {
				return;
			}

			socket.write(piece);
			if (pieceBytes !== undefined) {
				await sleep(pauseMs);
			}
		}
	};

	return {
		hasSent: sendAll(Array.from({length: count}, open)),
		close() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

async function sendAll(connections: ReadonlyArray<Promise<void>>): Promise<void> {
	await Promise.all(connections);
}

function cutPieces(bytes: Buffer, pieceBytes: number): readonly Buffer[] {
	return Array.from({length: Math.ceil(bytes.length / pieceBytes)}, (_, index) => bytes.subarray(index * pieceBytes, (index + 1) * pieceBytes));
}
