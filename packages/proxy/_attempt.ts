import type {Answer} from '@sapphirefall/decisions';

/**
 * Outcome of one attempt to execute a request.
 *
 * `answered`: the final answer, which also holds for all earlier attempts. `refused`: the attempt did not reach the
 * database and must not be repeated; its answer tells nothing about earlier attempts. `failed`: no answer, and
 * another attempt may succeed; `mayHaveRun` tells whether the statements may have run.
 */
export type Attempt =
	| {readonly kind: 'answered' | 'refused'; readonly answer: Answer}
	| {readonly kind: 'failed'; readonly mayHaveRun: boolean; readonly reason: string};
