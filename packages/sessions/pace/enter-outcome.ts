import type {StatementPlace} from './statement-place.ts';

/** The outcome of asking for a place. */
export type EnterOutcome =
	| {readonly kind: 'entered'; readonly place: StatementPlace}
	/** There was no place in time. */
	| {readonly kind: 'busy'}
	/** The instance cannot be reached; others that waited are told at once. */
	| {readonly kind: 'unreachable'};
