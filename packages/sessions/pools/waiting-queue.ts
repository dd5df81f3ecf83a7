import type {WaitingRequest} from './waiting-request.ts';

/** The requests that wait for a connection to an instance. */
export type WaitingQueue<Request extends WaitingRequest> = {
	readonly add: (request: Request) => void;
	/** Removes and returns the request that is served next; undefined if none waits. `now` is in milliseconds of the steady clock. */
	readonly take: (now: number) => Request | undefined;
	/** Removes a request that waits no longer; returns whether it was still waiting. */
	readonly remove: (request: Request) => boolean;
	/** Counts the requests that wait. */
	readonly count: () => number;
};
