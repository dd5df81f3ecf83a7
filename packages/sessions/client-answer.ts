import type {SessionState} from './session-state.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** A message that a session sends to its caller. */
export type ClientAnswer =
	| {readonly kind: 'started'}
	/** The session cannot start or continue; the connection is closed after this message. */
	| {readonly kind: 'rejected'; readonly outcome: StatementOutcome & {readonly kind: 'failed'}}
	| {readonly kind: 'answered'; readonly outcome: StatementOutcome; readonly state: SessionState};
