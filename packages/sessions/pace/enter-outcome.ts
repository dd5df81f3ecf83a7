import type {UnservedOutcome} from '../waiting/unserved-outcome.ts';
import type {StatementPlace} from './statement-place.ts';

/** The outcome of asking for a place. */
export type EnterOutcome =
	| {
		readonly kind: 'entered';
		readonly place: StatementPlace;
		/** Records that the transaction has ended, or did not begin. Further calls have no effect. */
		readonly endTransaction: () => void;
	}
	| UnservedOutcome;
