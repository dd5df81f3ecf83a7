import {rankHosts} from '@sapphirefall/decisions';

type Options = {
	readonly self: string;
	readonly partition: number;
	readonly hosts: readonly string[];
	/** Host that does not answer any more. */
	readonly lost: string | undefined;
};

/** Finds this host's place among those that may share out the rates; 0 is the first. */
export function findRateAllocatorRank({self, partition, hosts, lost}: Options): number {
	return rankHosts(`rate-home/${partition}`, hosts.filter(host => host !== lost)).indexOf(self);
}
