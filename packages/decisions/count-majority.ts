import type {Group} from './group.ts';

/** Returns the number of instances that make up a majority of a group. */
export function countMajority(group: Group): number {
	return Math.floor(group.instances.length / 2) + 1;
}
