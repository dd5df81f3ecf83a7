import type {FailureCode} from './failure-code.ts';

/** The outcome of a statement: the result that an instance returned, or a failure. */
export type StatementOutcome =
	/** `signature` is the text after `COMPLETE` in the instance's answer, passed to the caller unchanged; `-` when there is none. */
	| {readonly kind: 'done'; readonly rows: readonly string[]; readonly signature: string}
	| {readonly kind: 'failed'; readonly code: FailureCode; readonly reason: string};
