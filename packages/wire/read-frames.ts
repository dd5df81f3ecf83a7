import type {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {createFrameSplitter} from './create-frame-splitter.ts';

type Options = {
	/** Takes a message; throws when it cannot be read. */
	readonly onMessage: (message: Uint8Array) => void;
	/** Called with what is wrong with the stream, which must not be read any further. */
	readonly onError: (reason: string) => void;
};

/** Reads the messages of a stream of frames, such as a socket; see `createFrameSplitter`. */
export function readFrames(input: Readable, {onMessage, onError}: Options): void {
	const split = createFrameSplitter();
	input.on('data', (piece: Buffer) => {
		const messages = split(piece);
		if (messages === undefined) {
			onError('a message is too long');
			return;
		}

		try {
			for (const message of messages) {
				onMessage(message);
			}
		} catch (error) {
			onError((error as Error).message);
		}
	});
}
