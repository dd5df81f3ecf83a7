/** Network conditions that a link simulates. */
export type LinkFault = {
	/** One-way latency of each segment. */
	readonly delayMs: number;
	/** Largest random latency added to a segment. */
	readonly jitterMs: number;
	/** Fraction of segments that are lost and retransmitted, from 0 to 1. */
	readonly lossRate: number;
	/** Whether the link holds bytes until the partition ends. Then they arrive, also if their sender has closed the connection meanwhile, unless it reset it. */
	readonly isPartitioned: boolean;
	/** The bytes that a partition holds: those to the process or those back to its callers. Holds both if it is undefined. */
	readonly heldBytes?: 'requests' | 'answers' | undefined;
};
