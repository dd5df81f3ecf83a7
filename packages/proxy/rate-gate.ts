import type {AdmittedRequest, Answer} from '@sapphirefall/decisions';
import type {BorrowAsked, BorrowGranted, HandedBucket} from '@sapphirefall/hosts';

/** Holds workspaces to their rate and burst, counted over all hosts. */
export type RateGate = {
	/** Takes a request's cost; waits for it when it will be there soon, and else answers with a refusal. */
	readonly take: (request: AdmittedRequest) => Promise<Answer | undefined>;
	/** Whether this host lends for all workspaces whose home it is. */
	readonly isReady: () => boolean;
	/** Hands over the buckets of workspaces whose home is another host by a new roster. */
	readonly followRoster: () => void;
	/** Takes a bucket over; false when this host does not know that it is the home. */
	readonly takeOver: (bucket: HandedBucket) => boolean;
	/** Lends units of a workspace whose home this host is; undefined when it is not. */
	readonly lend: (asked: BorrowAsked) => BorrowGranted | undefined;
};
