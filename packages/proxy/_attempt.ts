import type {Answer} from '@sapphirefall/decisions';

/**
 * What one attempt at a request led to.
 *
 * `answered`: the answer, which also settles what became of the attempts before. `refused`: the answer of an
 * attempt that did not reach the database, is not to be repeated, and says nothing of the attempts before.
 * `failed`: no answer; the statement may have run when `mayHaveRun` is set, and another attempt may succeed.
 */
export type Attempt =
	| {readonly kind: 'answered' | 'refused'; readonly answer: Answer}
	| {readonly kind: 'failed'; readonly mayHaveRun: boolean; readonly reason: string};
