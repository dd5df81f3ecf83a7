import type {JobAnswer} from './job-answer.ts';

/** The answer to a job that was abandoned immediately before sending. */
export const notSentAnswer: JobAnswer & {readonly kind: 'notSent'} = {kind: 'notSent', reason: 'the right to send was lost or the time was over'};
