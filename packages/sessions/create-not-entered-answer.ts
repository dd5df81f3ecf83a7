import type {JobAnswer} from './job-answer.ts';
import type {EnterOutcome} from './pace/enter-outcome.ts';

/** Creates the answer to a job that found no place among the statements in progress. */
export function createNotEnteredAnswer(outcome: Exclude<EnterOutcome, {readonly kind: 'entered'}>): JobAnswer {
	if (outcome.kind === 'unreachable') {
		return {kind: 'notSent', reason: 'no place at the instance (unreachable)', isUnreachable: true};
	}

	const {ahead, retryAfterMs} = outcome;
	const reason = ahead === undefined ? 'no place at the instance (busy)' : `no place at the instance in time (busy; ${ahead} requests are ahead)`;
	return {
		kind: 'notSent', reason, isUnreachable: false, ...retryAfterMs !== undefined && {retryAfterMs},
	};
}
