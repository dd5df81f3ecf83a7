import {rankHosts} from '@sapphirefall/decisions';
import {ratePartitionCount} from './rate-partition-count.ts';

const partitions = Array.from({length: ratePartitionCount}, (_, index) => String(index));

/** Partitions that were found, by workspace. */
const known = new Map<string, number>();

/** Finds the partition of the workspaces that a workspace is in; each partition has a host of its own that shares out its rates. */
export function findRatePartition(workspace: string): number {
	const partition = known.get(workspace) ?? Number(rankHosts(workspace, partitions)[0]);
	known.set(workspace, partition);
	return partition;
}
