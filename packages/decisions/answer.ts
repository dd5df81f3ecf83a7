import type {ResultCode} from './result-code.ts';
import type {LogPoint} from './log-point.ts';
import type {SqlResult} from './sql-result.ts';

/**
 * The answer to a caller's request.
 *
 * `done`: the request ran, and the results are complete. `notRun`: the request did not run and never will.
 * `unknown`: a statement may have reached an endpoint; a retry with the same idempotency key resolves the outcome.
 */
export type Answer =
	| {
		readonly kind: 'done';
		readonly results: readonly SqlResult[];
		/** Log point that an instance must have applied to serve later reads of the session. */
		readonly point: LogPoint | undefined;
		/** Whether the results come from the idempotency record of an earlier attempt. */
		readonly isReplayed: boolean;
		/** Identifier of the instance that ran the request. */
		readonly instance: string;
	}
	| {
		readonly kind: 'notRun';
		readonly code: ResultCode;
		readonly reason: string;
		/** Milliseconds after which a retry may succeed; 0 when a retry would not help. */
		readonly retryAfter: number;
	}
	| {
		readonly kind: 'unknown';
		readonly code: ResultCode;
		readonly reason: string;
	};
