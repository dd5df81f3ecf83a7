import type {AdmittedRequest, Answer} from '@sapphirefall/decisions';

/** Holds workspaces to their rate and burst, counted over all hosts. */
export type RateLimiter = {
	/** Takes a request's cost; waits for it when it will be there soon, and else answers with a refusal. */
	readonly take: (request: AdmittedRequest) => Promise<Answer | undefined>;
};
