import {Buffer} from 'node:buffer';
import type {Writable} from 'node:stream';
import {frameHeaderBytes} from './frame-header-bytes.ts';
import type {FrameWriter} from './frame-writer.ts';

/**
 * Creates a writer of messages as frames. Messages of the same event loop turn are sent in a single write.
 *
 * @param output Stream that receives the frames, such as a socket.
 */
export function createFrameWriter(output: Writable): FrameWriter {
	let messages: Uint8Array[] = [];
	let length = 0;

	const flush = () => {
		if (messages.length === 0) {
			return;
		}

		const bytes = joinFrames(messages, length);
		messages = [];
		length = 0;
		if (output.writable) {
			output.write(bytes);
		}
	};

	return {
		write(message) {
			if (messages.length === 0) {
				setImmediate(flush);
			}

			messages.push(message);
			length += frameHeaderBytes + message.length;
		},
		end() {
			flush();
			output.end();
		},
		bufferedBytes: () => length + output.writableLength,
	};
}

function joinFrames(messages: readonly Uint8Array[], length: number): Buffer {
	const bytes = Buffer.allocUnsafe(length);
	let offset = 0;
	for (const message of messages) {
		offset = bytes.writeUInt32BE(message.length, offset);
		bytes.set(message, offset);
		offset += message.length;
	}

	return bytes;
}
