/** What a link does to the bytes on it. */
export type LinkFault = {
	/** Milliseconds that each segment takes. */
	readonly delay: number;
	/** Milliseconds that a segment may take longer. */
	readonly jitter: number;
	/** Share of segments that are lost and sent again. */
	readonly loss: number;
	/** Whether the link holds all bytes until it heals. */
	readonly isCut: boolean;
};
