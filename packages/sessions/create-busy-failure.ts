import {createFailure} from './create-failure.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/** Creates the refusal of a statement that has not run, with the milliseconds after which to come back. */
export function createBusyFailure(reason: string, retryAfter: number): StatementOutcome & {readonly kind: 'failed'} {
	return createFailure('busy', `${reason}; retry after ${Math.ceil(retryAfter)} ms`);
}
