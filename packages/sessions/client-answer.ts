import type {SessionState} from './session-state.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** A message to a caller. */
export type ClientAnswer =
	| {readonly kind: 'started'}
	/** The session cannot be opened; the connection is closed after this. */
	| {readonly kind: 'rejected'; readonly outcome: StatementOutcome & {readonly kind: 'failed'}}
	| {readonly kind: 'answered'; readonly outcome: StatementOutcome; readonly state: SessionState};
