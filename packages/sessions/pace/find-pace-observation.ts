import type {JobAnswer} from '../job-answer.ts';
import type {PaceObservation} from './pace-observation.ts';

/**
 * Finds what an answer says about the pace of the instance.
 *
 * @param latency Milliseconds from sending the statement until its answer.
 */
export function findPaceObservation(answer: JobAnswer, latency: number | undefined): PaceObservation {
	if (answer.kind === 'notSent') {
		return {kind: answer.isUnreachable === true ? 'unreachable' : 'neutral'};
	}

	if (answer.kind === 'lost') {
		return {kind: 'failed'};
	}

	if (answer.outcome.kind === 'done') {
		return {kind: 'answered', latency};
	}

	switch (answer.outcome.code) {
		case 'busy': {
			return {kind: 'busy'};
		}

		case 'timeout': {
			return {kind: 'failed'};
		}

		case 'failed':
		case 'aborted': {
			return {kind: 'answered', latency: undefined};
		}

		default: {
			return {kind: 'neutral'};
		}
	}
}
