import type {FairQueue} from './fair-queue.ts';

/** Cost that each round adds to the deficit of a workspace; equals the highest default cost of a request. */
const quantum = 4;

/**
 * Takes the next item of a fair queue.
 *
 * @param queue The queue.
 * @param findCost Returns the cost of an item, above 0.
 * @returns The queue afterwards, and the item or `undefined` when the queue is empty.
 */
export function takeItem<Item>(
	queue: FairQueue<Item>,
	findCost: (item: Item) => number,
): {readonly queue: FairQueue<Item>; readonly item: Item | undefined} {
	const deficits = new Map(queue.deficits);
	let {activeWorkspaces} = queue;
	for (;;) {
		const [workspace] = activeWorkspaces;
		const items = workspace === undefined ? undefined : queue.waiting.get(workspace);
		const item = items?.[0];
		if (workspace === undefined || items === undefined || item === undefined) {
			return {queue, item: undefined};
		}

		const deficit = deficits.get(workspace) ?? quantum;
		if (deficit >= findCost(item)) {
			deficits.set(workspace, deficit - findCost(item));
			return {queue: removeFirst({...queue, activeWorkspaces, deficits}, workspace), item};
		}

		deficits.set(workspace, deficit + quantum);
		activeWorkspaces = [...activeWorkspaces.slice(1), workspace];
	}
}

function removeFirst<Item>(queue: FairQueue<Item>, workspace: string): FairQueue<Item> {
	const waiting = new Map(queue.waiting);
	const remainingItems = waiting.get(workspace)?.slice(1) ?? [];
	if (remainingItems.length > 0) {
		waiting.set(workspace, remainingItems);
		return {...queue, waiting};
	}

	waiting.delete(workspace);
	const deficits = new Map(queue.deficits);
	deficits.delete(workspace);
	return {waiting, deficits, activeWorkspaces: queue.activeWorkspaces.filter(name => name !== workspace)};
}
