import type {JobAnswer} from './job-answer.ts';
import type {EnterOutcome} from './pace/enter-outcome.ts';

/** Creates the answer to a job that found no place among the statements in progress. */
export function createNotEnteredAnswer({kind}: Exclude<EnterOutcome, {readonly kind: 'entered'}>): JobAnswer {
	return {kind: 'notSent', reason: `no place at the instance (${kind})`, isUnreachable: kind === 'unreachable'};
}
