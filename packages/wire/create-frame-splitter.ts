import {Buffer} from 'node:buffer';
import {frameHeaderLength} from './frame-header-length.ts';
import {frameLimit} from './frame-limit.ts';

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
	let needed = frameHeaderLength;

	return piece => {
		pieces.push(piece);
		length += piece.length;
		if (length < needed) {
			return [];
		}

		const bytes = pieces.length === 1 ? piece : Buffer.concat(pieces, length);
		const messages: Buffer[] = [];
		let at = 0;
		needed = frameHeaderLength;
		while (bytes.length - at >= frameHeaderLength) {
			const messageLength = bytes.readUInt32BE(at);
			if (messageLength > frameLimit) {
				return undefined;
			}

			needed = frameHeaderLength + messageLength;
			if (bytes.length - at < needed) {
				break;
			}

			messages.push(bytes.subarray(at + frameHeaderLength, at + needed));
			at += needed;
			needed = frameHeaderLength;
		}

		pieces = at < bytes.length ? [bytes.subarray(at)] : [];
		length = bytes.length - at;
		return messages;
	};
}
