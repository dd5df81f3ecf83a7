import {Buffer} from 'node:buffer';
import {PassThrough} from 'node:stream';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {expect} from 'chai';
import fc from 'fast-check';
import {createFrameSplitter} from './create-frame-splitter.ts';
import {createFrameWriter} from './create-frame-writer.ts';
import {maxFrameBytes} from './max-frame-bytes.ts';

/** Writes messages as frames; returns the bytes and the number of writes. */
async function writeFrames(messages: readonly Uint8Array[]): Promise<{readonly bytes: Buffer; readonly writes: number}> {
	const output = new PassThrough();
	const pieces: Buffer[] = [];
	output.on('data', (piece: Buffer) => {
		pieces.push(piece);
	});
	const writer = createFrameWriter(output);
	for (const message of messages) {
		writer.write(message);
	}

	await waitForTurn();
	await waitForTurn();
	return {bytes: Buffer.concat(pieces), writes: pieces.length};
}

/** Splits bytes into pieces of the given lengths, which repeat in order. */
function cutBytes(bytes: Buffer, lengths: readonly number[]): readonly Buffer[] {
	const pieces: Buffer[] = [];
	let offset = 0;
	for (let index = 0; offset < bytes.length; index++) {
		const length = lengths[index % lengths.length] ?? 1;
		pieces.push(bytes.subarray(offset, offset + length));
		offset += length;
	}

	return pieces;
}

describe('createFrameSplitter', () => {
	it('returns the messages that were written, however their bytes are split', async () => {
		const property = fc.asyncProperty(
			fc.array(fc.uint8Array({maxLength: 300}), {maxLength: 8}),
			fc.array(fc.integer({min: 1, max: 40}), {minLength: 1, maxLength: 5}),
			async (messages, lengths) => {
				const {bytes} = await writeFrames(messages);
				const split = createFrameSplitter();
				const read = cutBytes(bytes, lengths).flatMap(piece => split(piece) ?? []);
				expect(read.map(message => [...message])).to.deep.equal(messages.map(message => [...message]));
			},
		);
		await fc.assert(property);
	});

	it('receives all messages of one event loop turn in a single write', async () => {
		const {writes} = await writeFrames([Buffer.from('a'), Buffer.from('b'), Buffer.from('c')]);
		expect(writes).to.equal(1);
	});

	const cases = [
		{name: 'a frame longer than the limit', bytes: [0xFF, 0xFF, 0xFF, 0xFF], expected: undefined},
		{name: 'the text of another protocol', bytes: [...Buffer.from('GET / HTTP/1.1\r\n\r\n')], expected: undefined},
		{name: 'an incomplete header', bytes: [0, 0], expected: []},
		{name: 'an incomplete message', bytes: [0, 0, 0, 5, 1, 2], expected: []},
	];
	for (const {name, bytes, expected} of cases) {
		it(`reads no message from ${name}`, () => {
			expect(createFrameSplitter()(Buffer.from(bytes))).to.deep.equal(expected);
		});
	}

	it('accepts a message of the maximum length', async () => {
		const {bytes} = await writeFrames([new Uint8Array(maxFrameBytes)]);
		expect(createFrameSplitter()(bytes)?.map(message => message.length)).to.deep.equal([maxFrameBytes]);
	});
});
