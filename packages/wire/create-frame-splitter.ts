import {Buffer} from 'node:buffer';
import {frameHeaderBytes} from './frame-header-bytes.ts';
import {maxFrameBytes} from './max-frame-bytes.ts';

/**
 * Creates a function that takes the next piece of a byte stream and returns the messages whose frames are complete.
 *
 * A frame is the length of its message as a 32-bit big-endian integer, followed by the message.
 *
 * @returns The function. It returns undefined when a message exceeds `maxFrameBytes`; the rest of the stream then cannot
 * be split, and messages ahead of it in the same piece are dropped.
 *
 * @example
 * const split = createFrameSplitter();
 * split(Buffer.from([0, 0, 0, 1, 65])); // [<Buffer 41>]
 */
export function createFrameSplitter(): (piece: Buffer) => readonly Buffer[] | undefined {
	/** Received pieces of the incomplete frame. */
	let pieces: Buffer[] = [];
	/** Total length of `pieces`. */
	let length = 0;
	/** Bytes to collect before the next attempt to split: a header, or the whole frame once its header is read. */
	let needed = frameHeaderBytes;

	return piece => {
		pieces.push(piece);
		length += piece.length;
		if (length < needed) {
			return [];
		}

		const bytes = pieces.length === 1 ? piece : Buffer.concat(pieces, length);
		const messages: Buffer[] = [];
		let offset = 0;
		needed = frameHeaderBytes;
		while (bytes.length - offset >= frameHeaderBytes) {
			const messageLength = bytes.readUInt32BE(offset);
			if (messageLength > maxFrameBytes) {
				return undefined;
			}

			needed = frameHeaderBytes + messageLength;
			if (bytes.length - offset < needed) {
				break;
			}

			messages.push(bytes.subarray(offset + frameHeaderBytes, offset + needed));
			offset += needed;
			needed = frameHeaderBytes;
		}

		pieces = offset < bytes.length ? [bytes.subarray(offset)] : [];
		length = bytes.length - offset;
		return messages;
	};
}
