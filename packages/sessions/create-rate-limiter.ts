import {createPartitionLimiter} from './create-partition-limiter.ts';
import {findRatePartition} from './find-rate-partition.ts';
import {ratePartitionCount} from './rate-partition-count.ts';
import type {RateLimiter} from './rate-limiter.ts';

/** Creates a host's shares of all rates: one set for each partition of the workspaces, so that no host shares out all of them. */
export function createRateLimiter(options: Omit<Parameters<typeof createPartitionLimiter>[0], 'partition'>): RateLimiter {
	const partitions = Array.from({length: ratePartitionCount}, (_, partition) => createPartitionLimiter({...options, partition}));
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
