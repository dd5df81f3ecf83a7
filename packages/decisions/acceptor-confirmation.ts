/** An acceptor's confirmation that it had committed no version newer than the known head. */
export type AcceptorConfirmation = {
	readonly id: string;
	/** Monotonic milliseconds of this host's clock; the acceptor confirmed at this moment or later. */
	readonly confirmedAt: number;
};
