/** A connection that holds memory. */
export type MemoryHolder = {
	/** Ends the connection, so that it holds nothing any more. */
	readonly evict: () => void;
};
