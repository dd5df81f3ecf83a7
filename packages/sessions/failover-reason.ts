/** Why a primary is to be replaced. */
export type FailoverReason = 'departing' | 'missing' | 'silent' | 'abandoned';
