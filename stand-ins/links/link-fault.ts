/** Network conditions that a link simulates. */
export type LinkFault = {
	/** One-way latency of each segment. */
	readonly delayMs: number;
	/** Largest random latency added to a segment. */
	readonly jitterMs: number;
	/** Fraction of segments that are lost and retransmitted, from 0 to 1. */
	readonly lossRate: number;
	/** Whether the link holds all bytes until the partition ends. */
	readonly isPartitioned: boolean;
};
