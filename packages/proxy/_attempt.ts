import type {Answer} from '@sapphirefall/decisions';

/**
 * What one attempt at a request led to.
 *
 * `answered`: the answer. `failed`: no answer; the statement may have run when `mayHaveRun` is set, and another
 * attempt may succeed.
 */
export type Attempt =
	| {readonly kind: 'answered'; readonly answer: Answer}
	| {readonly kind: 'failed'; readonly mayHaveRun: boolean; readonly reason: string};
