import {Buffer} from 'node:buffer';
import {frameHeaderBytes} from './frame-header-bytes.ts';
import {maxFrameBytes} from './max-frame-bytes.ts';

/**
 * Creates a function that takes pieces of a byte stream and returns the messages of the whole frames in them.
 *
 * A frame is the length of its message in four bytes, the highest first, and the message.
 *
 * @returns Undefined once a frame is longer than a frame may be; the stream cannot be read any further then.
 *
 * @example
 * const split = createFrameSplitter();
 * split(Buffer.from([0, 0, 0, 1, 65])); // [<Buffer 41>]
 */
export function createFrameSplitter(): (piece: Buffer) => readonly Buffer[] | undefined {
	/** Pieces of a frame that is not whole yet, and their length. */
	let pieces: Buffer[] = [];
	let length = 0;
	/** Length at which the frame that has begun is whole, as far as that is known. */
	let needed = frameHeaderBytes;

	return piece => {
		pieces.push(piece);
		length += piece.length;
		if (length < needed) {
			return [];
		}

		const bytes = pieces.length === 1 ? piece : Buffer.concat(pieces, length);
		const messages: Buffer[] = [];
		let at = 0;
		needed = frameHeaderBytes;
		while (bytes.length - at >= frameHeaderBytes) {
			const messageLength = bytes.readUInt32BE(at);
			if (messageLength > maxFrameBytes) {
				return undefined;
			}

			needed = frameHeaderBytes + messageLength;
			if (bytes.length - at < needed) {
				break;
			}

			messages.push(bytes.subarray(at + frameHeaderBytes, at + needed));
			at += needed;
			needed = frameHeaderBytes;
		}

		pieces = at < bytes.length ? [bytes.subarray(at)] : [];
		length = bytes.length - at;
		return messages;
	};
}
