/** What a link does to the bytes on it. */
export type LinkFault = {
	/** Milliseconds that each segment takes. */
	readonly delayMs: number;
	/** Milliseconds that a segment may take longer. */
	readonly jitterMs: number;
	/** Share of segments that are lost and sent again. */
	readonly lossRate: number;
	/** Whether the link holds all bytes until it heals. */
	readonly isPartitioned: boolean;
};
