/** Whether a host may use the primary of a group now. */
export type PrimaryView =
	| {readonly kind: 'leased'; readonly instance: string; readonly epoch: number}
	/** No lease; `retryAfter` are the milliseconds until there should be a primary again. */
	| {readonly kind: 'unavailable'; readonly reason: 'unknown' | 'lapsed' | 'fencing'; readonly retryAfter: number};
