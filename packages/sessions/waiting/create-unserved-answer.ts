import type {JobAnswer} from '../job-answer.ts';
import type {UnservedOutcome} from './unserved-outcome.ts';

type NotSentAnswer = Extract<JobAnswer, {readonly kind: 'notSent'}>;

/**
 * Creates the answer to a job that did not get what it needs to be sent.
 *
 * @param wanted What it needs, as the reason names it.
 */
export function createUnservedAnswer(outcome: UnservedOutcome, wanted: 'connection' | 'place at the instance'): NotSentAnswer {
	if (outcome.kind === 'unreachable') {
		return {kind: 'notSent', reason: `no ${wanted} (unreachable)`, isUnreachable: true};
	}

	const {ahead, retryAfterMs} = outcome;
	const reason = ahead === undefined ? `no ${wanted} (busy)` : `no ${wanted} in time (busy; ${ahead} requests are ahead)`;
	return {
		kind: 'notSent', reason, isUnreachable: false, ...retryAfterMs !== undefined && {retryAfterMs},
	};
}
