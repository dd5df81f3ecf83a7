/**
 * A queue that shares a scarce resource fairly between workspaces.
 *
 * Uses deficit round robin (Shreedhar and Varghese 1995): each round adds a quantum of cost to the deficit of each
 * workspace, and a workspace carries its unspent deficit to the next round while it has items waiting.
 */
export type FairQueue<Item> = {
	/** Waiting items by workspace, oldest first. Workspaces without waiting items are absent. */
	readonly waiting: ReadonlyMap<string, readonly Item[]>;
	/** Workspaces with waiting items, in the order in which they are served. */
	readonly activeWorkspaces: readonly string[];
	/** Cost that each workspace may still spend in the current round. */
	readonly deficits: ReadonlyMap<string, number>;
};
