import type {JobAnswer} from './job-answer.ts';

/** Describes the answer to a job for the trace of a statement. */
export function describeAnswer(answer: JobAnswer): string {
	switch (answer.kind) {
		case 'answered': {
			return answer.outcome.kind === 'done' ? 'done' : answer.outcome.code;
		}

		case 'lost': {
			return `answer lost (${answer.reason})`;
		}

		case 'notSent': {
			return `not sent (${answer.reason})`;
		}
	}
}
