type Waiter = {
	readonly workspace: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** How many later requests have entered before this one. */
	readonly passes: number;
};

type Options<Item> = {
	/** Whether a request cannot enter now. */
	readonly isBlocked: (waiter: Item) => boolean;
	/** Whether a workspace has an idle connection. */
	readonly hasIdle: (workspace: string) => boolean;
};

/** Number of later requests that may enter before one that needs a new connection. */
const maxPasses = 4;

/**
 * Chooses the request that enters next, in the order of the queue and by priority. Opening a connection occupies a slot,
 * so within a priority a request whose workspace has an idle connection may go before a limited number of others.
 */
export function chooseWaiter<Item extends Waiter>(waiters: readonly Item[], {isBlocked, hasIdle}: Options<Item>): Item | undefined {
	const free = waiters.filter(waiter => !isBlocked(waiter));
	const priority = Math.min(...free.map(waiter => waiter.priority));
	const [first, ...others] = free.filter(waiter => waiter.priority === priority);
	if (first === undefined || first.passes >= maxPasses || hasIdle(first.workspace)) {
		return first;
	}

	return others.find(({workspace}) => hasIdle(workspace)) ?? first;
}
