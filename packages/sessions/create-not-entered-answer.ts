import type {JobAnswer} from './job-answer.ts';
import type {EnterOutcome} from './pace/enter-outcome.ts';
import {createUnservedAnswer} from './waiting/create-unserved-answer.ts';

/** Creates the answer to a job that found no place among the statements in progress. */
export function createNotEnteredAnswer(outcome: Exclude<EnterOutcome, {readonly kind: 'entered'}>): JobAnswer {
	return createUnservedAnswer(outcome, 'place at the instance');
}
