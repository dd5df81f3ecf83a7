/** Times of failure detection and failover, in milliseconds. */
export type FailoverSettings = {
	/** Silence of the primary after which it is suspected. */
	readonly suspectAfter: number;
	/** Time for one attempt at agreement, fencing or promotion. */
	readonly stepTimeout: number;
	/** Delay before a watcher acts, for each watcher ranked before it. */
	readonly stagger: number;
};
