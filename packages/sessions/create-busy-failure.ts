import {createFailure} from './create-failure.ts';
import type {StatementOutcome} from './statement-outcome.ts';

/**
 * Creates the failure of a statement that did not run and may be retried.
 *
 * `retryAfter` is the delay in milliseconds that the caller is asked to wait before the retry.
 */
export function createBusyFailure(reason: string, retryAfter: number): StatementOutcome & {readonly kind: 'failed'} {
	return createFailure('busy', `${reason}; retry after ${Math.ceil(retryAfter)} ms`);
}
