import type {JobAnswer} from '../job-answer.ts';

/** The time to come back that a caller is told, from the answers to the attempts of its operation. */
export type RetryHint = {
	/** Takes the time into account that an answer names; returns whether the answer names one. */
	readonly record: (answer: JobAnswer) => boolean;
	/** Returns the smallest recorded time in milliseconds, or the usual one. */
	readonly find: () => number;
};
