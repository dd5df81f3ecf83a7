/**
 * Outcome of taking one operation from a workspace's rate.
 *
 * A refusal says whether the rate is used up, or whether this host has no share of it because no rate allocator has
 * assigned the shares. `retryAfter` is in milliseconds.
 */
export type RateOutcome =
	| {readonly kind: 'taken'}
	| {readonly kind: 'refused'; readonly reason: 'usedUp' | 'unassigned'; readonly retryAfter: number};
