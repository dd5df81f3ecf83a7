/** An acceptor's word that it had committed nothing newer than the known head. */
export type AcceptorConfirmation = {
	readonly id: string;
	/** Monotonic milliseconds of this host at or before which the word was given. */
	readonly confirmedAt: number;
};
