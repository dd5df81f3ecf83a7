import type {Buffer} from 'node:buffer';

/** Lists the pieces of bytes that is cut at the given lengths, which repeat in order. A length of 0 gives an empty piece. */
export function listPieces(bytes: Buffer, lengths: readonly number[]): readonly Buffer[] {
	const pieces: Buffer[] = [];
	let offset = 0;
	for (let index = 0; offset < bytes.length; index++) {
		// A whole round of empty pieces would never end.
		const length = index % (lengths.length + 1) === lengths.length ? 1 : lengths[index % (lengths.length + 1)] ?? 1;
		pieces.push(bytes.subarray(offset, offset + length));
		offset += length;
	}

	return pieces;
}
