/**
 * Why a primary is replaced: the platform lists it as departing, or no longer lists it, or it does not answer, or another
 * host abandoned its failover.
 */
export type FailoverReason = 'departing' | 'missing' | 'silent' | 'abandoned';
