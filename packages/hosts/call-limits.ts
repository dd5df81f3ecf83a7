/** How long the calling host waits for the answer to a call. */
export type CallLimits = {
	/** Milliseconds after which the call is given up. */
	readonly timeoutMs: number;
	/** Whether the other host is pinged while the call is open, so that a dead connection is closed long before the timeout. */
	readonly hasKeepalive: boolean;
};
