import type {AdmittedRequest, Answer} from '@sapphirefall/decisions';

/** Limits workspaces to their rate and burst over all hosts. */
export type RateLimiter = {
	/**
	 * Takes a request's cost, and waits for the units when they are due in time.
	 *
	 * @returns The refusal when the units are not due in time, else undefined.
	 */
	readonly take: (request: AdmittedRequest) => Promise<Answer | undefined>;
};
