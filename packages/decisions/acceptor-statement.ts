/** An acceptor's word that it had committed nothing newer than the known head. */
export type AcceptorStatement = {
	readonly id: string;
	/** Monotonic milliseconds of this host at or before which the word was given. */
	readonly at: number;
};
