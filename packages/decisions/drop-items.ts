import type {FairQueue} from './fair-queue.ts';

/** Removes the items of a fair queue that match a predicate, such as those whose deadline has passed. */
export function dropItems<Item>(queue: FairQueue<Item>, isDropped: (item: Item) => boolean): FairQueue<Item> {
	const waiting = new Map([...queue.waiting]
		.map(([workspace, items]) => [workspace, items.filter(item => !isDropped(item))] as const)
		.filter(([, items]) => items.length > 0));
	const deficits = new Map([...queue.deficits].filter(([workspace]) => waiting.has(workspace)));
	return {waiting, deficits, activeWorkspaces: queue.activeWorkspaces.filter(workspace => waiting.has(workspace))};
}
