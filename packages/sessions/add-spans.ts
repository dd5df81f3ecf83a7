import type {createJobTimer} from './create-job-timer.ts';
import type {JobAnswer} from './job-answer.ts';

/** Returns the answer with the phases of its job, if the instance gave it. */
export function addSpans(answer: JobAnswer, timer: ReturnType<typeof createJobTimer>): JobAnswer {
	return answer.kind === 'answered' ? {...answer, spans: timer.finish()} : answer;
}
