/** Why a primary is to be replaced. */
export type ReplacementReason = 'departing' | 'missing' | 'silent' | 'abandoned';
