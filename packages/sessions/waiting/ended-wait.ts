/** A wait for a place or a connection that has ended, for metrics. */
export type EndedWait = {
	/** `expired` and `overdue` are causes of a refusal; see `WaitingRefusal`. `unreachable`: the instance cannot be reached. */
	readonly outcome: 'served' | 'expired' | 'overdue' | 'unreachable';
	readonly priority: number;
	/** Milliseconds for which the request waited. */
	readonly waitedMs: number;
};
