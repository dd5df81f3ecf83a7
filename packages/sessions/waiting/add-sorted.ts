import {countUpTo} from './count-up-to.ts';

/** Adds an item to sorted items, behind those with the same key. */
export function addSorted<Item>(items: readonly Item[], {item, findKey}: {readonly item: Item; readonly findKey: (item: Item) => number}): readonly Item[] {
	return items.toSpliced(countUpTo(items, {limit: findKey(item), findKey}), 0, item);
}
