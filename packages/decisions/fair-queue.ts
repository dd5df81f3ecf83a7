/**
 * A queue that shares a scarce resource fairly between workspaces.
 *
 * Deficit round robin (Shreedhar and Varghese 1995): each workspace in turn may spend a quantum of cost, and
 * keeps what it did not spend while it has work waiting.
 */
export type FairQueue<Item> = {
	/** Waiting items by workspace, oldest first; workspaces without any are absent. */
	readonly waiting: ReadonlyMap<string, readonly Item[]>;
	/** Workspaces in the order of their turns. */
	readonly activeWorkspaces: readonly string[];
	/** Cost that each workspace may still spend in its turn. */
	readonly deficits: ReadonlyMap<string, number>;
};
