import type {FailureCode} from './failure-code.ts';

/** The answer to a statement: a result as an instance gave it, or a failure. */
export type StatementOutcome =
	| {readonly kind: 'done'; readonly rows: readonly string[]; readonly signature: string}
	| {readonly kind: 'failed'; readonly code: FailureCode; readonly reason: string};
