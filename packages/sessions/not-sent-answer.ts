import type {JobAnswer} from './job-answer.ts';

/** The answer to a job that was given up just before it was to be sent. */
export const notSentAnswer: JobAnswer & {readonly kind: 'notSent'} = {kind: 'notSent', reason: 'the right to send was lost or the time was over'};
