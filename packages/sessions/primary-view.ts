/** Whether a host holds a lease on the primary of a group, or why it does not. */
export type PrimaryView =
	| {readonly kind: 'leased'; readonly instance: string; readonly epoch: number}
	/** No lease. `retryAfter` is the expected number of milliseconds until a primary is available. */
	| {readonly kind: 'unavailable'; readonly reason: 'unknown' | 'lapsed' | 'fencing' | 'restored' | 'demoted' | 'evacuating' | 'evacuated' | 'restricted'; readonly retryAfter: number};
