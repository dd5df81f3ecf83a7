import type {LogPoint} from '@sapphirefall/decisions';
import type {SessionState} from './session-state.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** The answer of an instance to a request. */
export type InstanceAnswer =
	| {
		readonly kind: 'answered';
		readonly outcome: StatementOutcome;
		readonly state: SessionState;
		/** End of the instance's log; undefined when the answer does not state it. */
		readonly position: LogPoint | undefined;
	}
	/** No complete answer came before the connection closed or the request timed out; the request may have run. */
	| {readonly kind: 'lost'; readonly reason: string};
