type Options<Item> = {
	readonly limit: number;
	readonly findKey: (item: Item) => number;
};

/** Counts the items with a key up to a limit, by binary search in items that are sorted by key. */
export function countUpTo<Item>(items: readonly Item[], {limit, findKey}: Options<Item>): number {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		const item = items[middle];
		if (item !== undefined && findKey(item) <= limit) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
