/** A wait for a connection that has ended, for metrics. */
export type EndedWait = {
	/** `expired` and `overdue` are causes of a refusal; see `WaitingRefusal`. */
	readonly outcome: 'served' | 'expired' | 'overdue';
	readonly priority: number;
	/** Milliseconds for which the request waited. */
	readonly waitedMs: number;
};
