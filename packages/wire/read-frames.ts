import type {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {createFrameSplitter} from './create-frame-splitter.ts';
import {frameHeaderBytes} from './frame-header-bytes.ts';

type Options = {
	/** Handles a message; throws if the message is invalid. */
	readonly onMessage: (message: Uint8Array) => void;
	/** Called with the cause of an error, after which the stream must not be read any further. */
	readonly onError: (reason: string) => void;
	/** Called with the bytes of the message that is not complete, after each piece of the stream. */
	readonly onHeldBytes?: (bytes: number) => void;
};

/** Reads messages from a stream of frames, such as a socket, in the format that `createFrameSplitter` describes. */
export function readFrames(input: Readable, {onMessage, onError, onHeldBytes}: Options): void {
	const split = createFrameSplitter();
	let heldBytes = 0;
	input.on('data', (piece: Buffer) => {
		const messages = split(piece);
		if (messages === undefined) {
			onError('a message exceeds the maximum frame size');
			return;
		}

		heldBytes += piece.length;
		for (const message of messages) {
			heldBytes -= frameHeaderBytes + message.length;
		}

		onHeldBytes?.(heldBytes);
		try {
			for (const message of messages) {
				onMessage(message);
			}
		} catch (error) {
			onError((error as Error).message);
		}
	});
}
