import type {LogPoint, SqlResult} from '@sapphirefall/decisions';

/**
 * What became of a batch.
 *
 * `ran`: the whole result and the log end that it saw or wrote. `refused`: it did not run, and its transaction
 * is rolled back. `lost`: no answer came, and the connection is closed.
 */
export type BatchOutcome =
	| {readonly kind: 'ran'; readonly results: readonly SqlResult[]; readonly point: LogPoint}
	| {readonly kind: 'refused'; readonly fault: 'term' | 'statement' | 'busy'; readonly message: string}
	| {readonly kind: 'lost'};
