import type {ResultCode} from './result-code.ts';
import type {LogPoint} from './log-point.ts';
import type {SqlResult} from './sql-result.ts';

/**
 * What a caller is told about a request.
 *
 * `done`: the request ran; the results are whole. `notRun`: the request did not run and never will.
 * `unknown`: a statement may have reached an endpoint; a repeat with the idempotency key settles it.
 */
export type Answer =
	| {
		readonly kind: 'done';
		readonly results: readonly SqlResult[];
		/** Point that later reads of the session must cover. */
		readonly point: LogPoint | undefined;
		readonly isReplayed: boolean;
		readonly instance: string;
	}
	| {
		readonly kind: 'notRun';
		readonly code: ResultCode;
		readonly reason: string;
		/** Milliseconds after which a repeat may succeed; 0 when a repeat is pointless. */
		readonly retryAfter: number;
	}
	| {
		readonly kind: 'unknown';
		readonly code: ResultCode;
		readonly reason: string;
	};
