import {createWaitingQueue} from '../waiting/create-waiting-queue.ts';
import type {createTransactionPermits} from './create-transaction-permits.ts';
import type {EnteringRequest} from './entering-request.ts';

type Options<Request extends EnteringRequest> = Required<NonNullable<Parameters<typeof createWaitingQueue<Request>>[0]>> & {
	readonly permits: ReturnType<typeof createTransactionPermits>;
};

/** The requests that wait to enter. */
type EntryQueue<Request extends EnteringRequest> = {
	/** Adds a request, which may be refused at once. */
	readonly add: (request: Request) => void;
	/** Removes and returns the request that enters next; undefined if none may. Preferred workspaces go first within their round. */
	readonly take: (now: number, isPreferred: (workspace: string) => boolean) => Request | undefined;
	/** Refuses a request because its deadline has passed, if it is still waiting. */
	readonly expire: (request: Request, now: number) => void;
	/** Removes and returns all requests. */
	readonly takeAll: () => readonly Request[];
	/** Whether a request of a kind that comes now has none before it and may have its permit, so that it needs not wait in the queue. */
	readonly mayPassBy: (kind: EnteringRequest['kind']) => boolean;
	readonly count: () => number;
};

/**
 * Creates an empty queue in the order of `createWaitingQueue`.
 *
 * A transaction waits for its permit first and for a place then, so that those that cannot begin delay no statement, and
 * each wait is predicted by the pace of what it waits for.
 */
export function createEntryQueue<Request extends EnteringRequest>({permits, findPace, onRefused, jitter}: Options<Request>): EntryQueue<Request> {
	const forPlace = createWaitingQueue<Request>({findPace, onRefused, jitter});
	const forPermit = createWaitingQueue<Request>({findPace: permits.findPace, onRefused, jitter});

	/** Lets transactions wait for a place as far as there are permits; returns whether one does. */
	const grantPermits = (now: number): boolean => {
		let hasGranted = false;
		while (permits.hasFree()) {
			const request = forPermit.take(now);
			if (request === undefined) {
				return hasGranted;
			}

			request.permit = permits.take(request.priority);
			forPlace.add(request);
			hasGranted = true;
		}

		return hasGranted;
	};

	return {
		add(request) {
			if (request.kind === 'begin') {
				forPermit.add(request);
				grantPermits(request.since);
			} else {
				forPlace.add(request);
			}
		},
		take(now, isPreferred) {
			grantPermits(now);
			let request = forPlace.take(now, isPreferred);
			// Refusals may have left permits for other transactions.
			while (request === undefined && grantPermits(now)) {
				request = forPlace.take(now, isPreferred);
			}

			return request;
		},
		expire(request, now) {
			forPlace.expire(request, now);
			forPermit.expire(request, now);
		},
		takeAll: () => [...forPlace.takeAll(), ...forPermit.takeAll()],
		mayPassBy: kind => forPlace.count() === 0 && (kind === 'single' || (forPermit.count() === 0 && permits.hasFree())),
		count: () => forPlace.count() + forPermit.count(),
	};
}
