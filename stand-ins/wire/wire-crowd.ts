/** Many connections to one port that send what their test says. */
export type WireCrowd = {
	/** Resolves when each connection has written all it has to send, or is closed. */
	readonly hasSent: Promise<void>;
	readonly close: () => void;
};
