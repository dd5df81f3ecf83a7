import type {JobAnswer} from '../job-answer.ts';

/** Answer to a job for a cold instance for which there is no permit. */
export const coldAnswer: JobAnswer = {kind: 'notSent', reason: 'the instance is cold, and gets no more statements now'};
