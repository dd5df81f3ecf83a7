/** Times of failure detection and failover, in milliseconds. */
export type FailoverSettings = {
	/** Time without an answer of the primary after which it is suspected to have failed. */
	readonly suspectAfter: number;
	/** Timeout of one attempt at confirmation, fencing or promotion. */
	readonly stepTimeout: number;
	/** Delay before a watcher acts, for each watcher that ranks before it; keeps watchers from fencing at the same time. */
	readonly stagger: number;
};
