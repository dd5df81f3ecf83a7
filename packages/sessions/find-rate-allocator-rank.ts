import {rankHosts} from '@sapphirefall/decisions';

type Options = {
	readonly self: string;
	readonly partition: number;
	readonly hosts: readonly string[];
	/** Holder of the lease that no longer answers; undefined if the lease was never taken. */
	readonly lost: string | undefined;
};

/** Finds this host's rank among the candidates for a partition's rate allocator; 0 is the first. */
export function findRateAllocatorRank({self, partition, hosts, lost}: Options): number {
	return rankHosts(`rate-home/${partition}`, hosts.filter(host => host !== lost)).indexOf(self);
}
