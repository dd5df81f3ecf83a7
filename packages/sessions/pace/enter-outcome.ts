import type {StatementPlace} from './statement-place.ts';

/** The outcome of asking for a place. */
export type EnterOutcome =
	| {
		readonly kind: 'entered';
		readonly place: StatementPlace;
		/** Records that the transaction has ended, or did not begin. Further calls have no effect. */
		readonly endTransaction: () => void;
	}
	/** There was no place in time. */
	| {
		readonly kind: 'busy';
		/** Number of requests before it, if it was refused because it could not be served in time. */
		readonly ahead?: number;
		/** Milliseconds after which there is room for the request, if that is known. */
		readonly retryAfterMs?: number | undefined;
	}
	/** The instance cannot be reached; others that waited are told at once. */
	| {readonly kind: 'unreachable'};
