import {
	addItem, createFairQueue, takeItem, type FairQueue,
} from '@sapphirefall/decisions';
import type {WaitingQueue} from './waiting-queue.ts';
import type {WaitingRequest} from './waiting-request.ts';

/** Creates an empty queue that serves requests by priority, and fairly between workspaces within a priority. */
export function createWaitingQueue<Request extends WaitingRequest>(): WaitingQueue<Request> {
	const queues = new Map<number, FairQueue<Request>>();
	/** Requests that were added and neither taken nor removed; the queues also hold removed ones. */
	const waiting = new Set<Request>();

	/** Takes the next request of a priority, removed or not. */
	const takeFrom = (priority: number): Request | undefined => {
		const {queue, item} = takeItem(queues.get(priority) ?? createFairQueue<Request>(), () => 1);
		if (item === undefined) {
			queues.delete(priority);
		} else {
			queues.set(priority, queue);
		}

		return item;
	};

	return {
		add(request) {
			const {workspace, priority} = request;
			waiting.add(request);
			queues.set(priority, addItem(queues.get(priority) ?? createFairQueue<Request>(), {workspace, item: request}));
		},
		take() {
			for (const priority of [...queues.keys()].toSorted((a, b) => a - b)) {
				for (let request = takeFrom(priority); request !== undefined; request = takeFrom(priority)) {
					if (waiting.delete(request)) {
						return request;
					}
				}
			}

			return undefined;
		},
		remove: request => waiting.delete(request),
		count: () => waiting.size,
	};
}
