import type {FailureCode} from './failure-code.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** Creates the outcome of a failed statement. */
export function createFailure(code: FailureCode, reason: string): StatementOutcome & {readonly kind: 'failed'} {
	return {kind: 'failed', code, reason};
}
