import type {WaitingRequest} from './waiting-request.ts';

/** The requests that wait for a place or a connection at an instance. Times are in milliseconds of the steady clock. */
export type WaitingQueue<Request extends WaitingRequest> = {
	/** Adds a request, which may be refused at once. */
	readonly add: (request: Request) => void;
	/**
	 * Removes and returns the request that is served next; undefined if none waits. Of the workspaces whose turn it is, a
	 * preferred one goes first.
	 */
	readonly take: (now: number, isPreferred?: (workspace: string) => boolean) => Request | undefined;
	/** Removes a request that waits no longer; returns whether it was still waiting. */
	readonly remove: (request: Request) => boolean;
	/** Refuses a request because its deadline has passed, if it is still waiting. */
	readonly expire: (request: Request, now: number) => void;
	/** Removes and returns all requests. */
	readonly takeAll: () => readonly Request[];
	/** Counts the requests that wait. */
	readonly count: () => number;
	/** Predicts how many milliseconds a waiting request still waits; undefined if it does not wait, or the pace was not measured. */
	readonly findWait: (request: Request) => number | undefined;
};
