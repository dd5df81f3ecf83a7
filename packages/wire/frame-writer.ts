/** Writes messages as frames; see `createFrameSplitter` for their form. */
export type FrameWriter = {
	/** Writes a message; all messages of a turn of the loop go out together. */
	readonly write: (message: Uint8Array) => void;
	/** Bytes that the other side has not taken yet. */
	readonly bufferedBytes: () => number;
};
