import {createWaitingQueue} from '../pools/create-waiting-queue.ts';
import type {WaitingRequest} from '../pools/waiting-request.ts';
import {chooseWaiter} from './choose-waiter.ts';

type Options = {
	/** Whether a request of a kind cannot enter now. */
	readonly isBlocked: (kind: EnteringRequest['kind']) => boolean;
	/** Whether a workspace has an idle connection. */
	readonly hasIdle: (workspace: string) => boolean;
	/** Returns the current time of the steady clock in milliseconds. */
	readonly now: () => number;
};

/** A request that waits for a place. */
type EnteringRequest = WaitingRequest & {
	readonly kind: 'single' | 'begin';
	/** How many later requests have entered before this one. */
	passes: number;
};

/** The requests that wait to enter. */
type EntryQueue<Request extends EnteringRequest> = {
	readonly add: (request: Request) => void;
	/** Removes and returns the request that enters next; undefined if none may. */
	readonly takeNext: () => Request | undefined;
	/** Removes and returns any request; undefined if none waits. */
	readonly takeAny: () => Request | undefined;
	/** Removes a request that waits no longer; returns whether it was still waiting. */
	readonly remove: (request: Request) => boolean;
	readonly count: () => number;
};

/** Requests that are compared when a place is free, the next ones of the queue. */
const comparedCount = 8;

/** Creates an empty queue in the order of `createWaitingQueue`, from which `chooseWaiter` takes one of the next. */
export function createEntryQueue<Request extends EnteringRequest>({isBlocked, hasIdle, now}: Options): EntryQueue<Request> {
	const queue = createWaitingQueue<Request>();
	/** Requests that were taken from the queue to be compared, in its order. */
	const compared: Request[] = [];

	/** Fetches the next requests, at least one, so that an urgent one is compared at once. */
	const fetchNext = () => {
		let request: Request | undefined;
		do {
			request = queue.take(now());
			if (request !== undefined) {
				compared.push(request);
			}
		} while (request !== undefined && compared.filter(({kind}) => !isBlocked(kind)).length < comparedCount);
	};

	return {
		add: queue.add,
		takeNext() {
			fetchNext();
			const next = chooseWaiter(compared, {isBlocked: ({kind}) => isBlocked(kind), hasIdle});
			if (next === undefined) {
				return undefined;
			}

			const index = compared.indexOf(next);
			for (const passed of compared.slice(0, index)) {
				passed.passes += isBlocked(passed.kind) ? 0 : 1;
			}

			compared.splice(index, 1);
			return next;
		},
		takeAny: () => compared.shift() ?? queue.take(now()),
		remove(request) {
			const index = compared.indexOf(request);
			return index === -1 ? queue.remove(request) : compared.splice(index, 1).length > 0;
		},
		count: () => queue.count() + compared.length,
	};
}
