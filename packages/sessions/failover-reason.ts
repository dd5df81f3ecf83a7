/**
 * Why a primary is replaced: the platform lists it as departing, or its zone is evacuated, or the platform no longer lists it,
 * or it says that it is a replica, or it does not answer, or another host abandoned its failover, or it is not certain which
 * instance is the primary after the store came back from an older copy.
 */
export type FailoverReason = 'departing' | 'evacuated' | 'missing' | 'demoted' | 'silent' | 'abandoned' | 'restored';
