/** Writes messages as frames in the format that `createFrameSplitter` describes. */
export type FrameWriter = {
	/** Writes a message. Messages of the same event loop turn are sent together. */
	readonly write: (message: Uint8Array) => void;
	/** Sends what was written and then ends the stream. */
	readonly end: () => void;
	/** Returns the number of bytes that are not yet handed to the operating system. */
	readonly bufferedBytes: () => number;
};
