import type {JobAnswer} from './job-answer.ts';

/** Describes the answer to a job for the trace of a statement, with the position of the instance's log. */
export function describeAnswer(answer: JobAnswer): string {
	switch (answer.kind) {
		case 'answered': {
			const result = answer.outcome.kind === 'done' ? 'done' : answer.outcome.code;
			return answer.position === undefined ? result : `${result} at ${answer.position.term}.${answer.position.position}`;
		}

		case 'lost': {
			return `answer lost (${answer.reason})`;
		}

		case 'notSent': {
			return `not sent (${answer.reason})`;
		}
	}
}
