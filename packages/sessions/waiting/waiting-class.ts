import type {WaitingRequest} from './waiting-request.ts';
import type {chooseLane} from './choose-lane.ts';
import type {updateLane} from './update-lane.ts';
import type {WaitingLane} from './waiting-lane.ts';

/** The requests that wait with the same priority. */
export type WaitingClass<Request extends WaitingRequest> = {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly add: (request: Request) => void;
	/** Removes a request that is in it. */
	readonly remove: (request: Request) => void;
	/** Finds out which requests miss their target by now. */
	readonly update: (options: Parameters<typeof updateLane>[1]) => void;
	/** Chooses the request that is served next, and leaves it where it is. */
	readonly findNext: (options: Parameters<typeof chooseLane>[1]) => {readonly request: Request; readonly isOnTime: boolean} | undefined;
	/** Removes a request that is served, which counts as its workspace's turn in the round. */
	readonly take: (request: Request) => void;
	readonly listLanes: () => Iterable<WaitingLane<Request>>;
	/** Counts the requests, and those of them that can still meet their target. */
	readonly count: () => {readonly all: number; readonly onTime: number};
};
