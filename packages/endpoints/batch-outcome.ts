import type {LogPoint, SqlResult} from '@sapphirefall/decisions';

/**
 * Outcome of a batch.
 *
 * - `ran`: the results, and the log point that the batch read at or committed at.
 * - `refused`: the instance did not run the batch and rolled its transaction back.
 * - `lost`: no answer arrived, and the connection is closed. The batch may have run.
 */
export type BatchOutcome =
	| {readonly kind: 'ran'; readonly results: readonly SqlResult[]; readonly point: LogPoint}
	| {readonly kind: 'refused'; readonly fault: 'term' | 'statement' | 'busy'; readonly message: string}
	| {readonly kind: 'lost'};
