/** Bytes of memory that may be in use at a time for one purpose. */
export type ByteBudget = {
	/** Takes bytes; takes none, and returns false, if more than the limit would be taken. */
	readonly take: (bytes: number) => boolean;
	readonly giveBack: (bytes: number) => void;
	/** Returns the bytes that are taken now. */
	readonly taken: () => number;
};
