import {createRateShares} from './create-rate-shares.ts';
import {findRatePartition} from './find-rate-partition.ts';
import {ratePartitionCount} from './rate-partition-count.ts';
import type {RateShares} from './rate-shares.ts';

/** Creates a host's shares of all rates: one set for each partition of the workspaces, so that no host shares out all of them. */
export function createRatePartitions(options: Omit<Parameters<typeof createRateShares>[0], 'partition'>): RateShares {
	const partitions = Array.from({length: ratePartitionCount}, (_, partition) => createRateShares({...options, partition}));
	return {
		takeOperation: async workspace => partitions[findRatePartition(workspace)]!.takeOperation(workspace),
		claimRates: async claims => partitions[claims.partition]?.claimRates(claims) ?? 'notAllocator',
		// Every host shows life to the home of the first partition.
		listSilentHosts: () => partitions[0]!.listSilentHosts(),
		updateFleet(fleet) {
			for (const shares of partitions) {
				shares.updateFleet(fleet);
			}
		},
		step() {
			for (const shares of partitions) {
				shares.step();
			}
		},
	};
}
