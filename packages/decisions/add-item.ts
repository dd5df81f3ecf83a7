import type {FairQueue} from './fair-queue.ts';

/** Adds an item of a workspace to a fair queue. A workspace without waiting items is served last in the current round. */
export function addItem<Item>(
	queue: FairQueue<Item>,
	added: {readonly workspace: string; readonly item: Item},
): FairQueue<Item> {
	const {workspace, item} = added;
	const items = queue.waiting.get(workspace);
	return {
		...queue,
		waiting: new Map(queue.waiting).set(workspace, [...(items ?? []), item]),
		activeWorkspaces: items === undefined ? [...queue.activeWorkspaces, workspace] : queue.activeWorkspaces,
	};
}
