import type {Group} from './group.ts';

/** Counts the instances that make a majority of a group. */
export function countMajority(group: Group): number {
	return Math.floor(group.instances.length / 2) + 1;
}
