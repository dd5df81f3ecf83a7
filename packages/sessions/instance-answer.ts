import type {LogPoint} from '@sapphirefall/decisions';
import type {SessionState} from './session-state.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** The answer of an instance to a request. */
export type InstanceAnswer =
	| {
		readonly kind: 'answered';
		readonly outcome: StatementOutcome;
		readonly state: SessionState;
		/** End of the instance's log. */
		readonly position: LogPoint | undefined;
	}
	/** The connection ended before the whole answer came; the request may have run. */
	| {readonly kind: 'lost'; readonly reason: string};
