import {rankHosts} from '@sapphirefall/decisions';
import {ratePartitionCount} from './rate-partition-count.ts';

const partitions = Array.from({length: ratePartitionCount}, (_, index) => String(index));

/** Cache of partitions by workspace. */
const cached = new Map<string, number>();

/** Finds the partition of a workspace. Each partition has its own rate allocator. */
export function findRatePartition(workspace: string): number {
	const partition = cached.get(workspace) ?? Number(rankHosts(workspace, partitions)[0]);
	cached.set(workspace, partition);
	return partition;
}
